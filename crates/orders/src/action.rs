//! What an [`crate::OrderController`] wants done.

use base::{FencingNumber, prelude::*};

/// An action for the binding.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum OrderAction {
    /// Append this record to the stream `orders`. The answer is not awaited: the claim
    /// counts once it is read back, and is appended again if it is not.
    Append {
        /// The record's text.
        text: Arc<str>,
    },
    /// Post the models that the runner should have loaded; idempotent.
    Order {
        /// The runner.
        runner: RunnerId,
        /// The holder's fencing number.
        fence: FencingNumber,
        /// All models that it should have.
        models: Vec<ModelName>,
    },
    /// This VM no longer holds the place: drop its orders that are not yet written, now.
    StopOrders {
        /// The place.
        place: PlaceName,
    },
}
