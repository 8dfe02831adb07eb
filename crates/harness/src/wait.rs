//! Waiting on conditions instead of sleeping.

use std::time::{Duration, Instant};

use crate::{HarnessError, Result};

/// Pause between two looks at a condition.
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// Looks at `condition` until it gives a value, for at most `limit`.
///
/// # Errors
/// [`HarnessError::Waited`] with `what`.
pub async fn wait_until<T>(
    what: &str,
    limit: Duration,
    mut condition: impl AsyncFnMut() -> Option<T>,
) -> Result<T> {
    let end = Instant::now() + limit;
    loop {
        if let Some(value) = condition().await {
            return Ok(value);
        }
        if Instant::now() >= end {
            return Err(HarnessError::Waited(what.to_owned()));
        }
        compio::time::sleep(LOOK_EVERY).await;
    }
}
