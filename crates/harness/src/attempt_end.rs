//! What bookings came to, as their callers can know it.

use http_body_util::BodyExt;
use web::SendFault;

use crate::{CallerRequest, HarnessError, NodeFleet};

/// What became of one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// It ran, and its answer came.
    Served,
    /// Not run: a 503 with a time, or no connection.
    Refused,
    /// Anything else, after which the caller does not know whether it has run.
    Lost(u16),
}

/// Sends one booking to a node.
pub async fn book(fleet: &NodeFleet, node: usize, attempt: &str) -> AttemptEnd {
    match fleet.open(node, &CallerRequest::booking(attempt)).await {
        Ok(response) => {
            let status = response.status().as_u16();
            let may_return = response.headers().contains_key("retry-after");
            let whole = response.into_body().collect().await.is_ok();
            match status {
                200 if whole => AttemptEnd::Served,
                503 if whole && may_return => AttemptEnd::Refused,
                _ => AttemptEnd::Lost(status),
            }
        }
        Err(HarnessError::Web(error)) if error.send_fault() == SendFault::NotSent => {
            AttemptEnd::Refused
        }
        Err(_) => AttemptEnd::Lost(0),
    }
}
