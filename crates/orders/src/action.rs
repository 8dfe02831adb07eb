//! Output actions of [`crate::OrderController`].

use base::{FencingNumber, prelude::*};

/// An action that the caller of [`crate::OrderController::handle`] has to perform.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum OrderAction {
    /// Append this record to the stream `orders`. The result of the append is ignored: the
    /// claim takes effect once it is read back, and is appended again otherwise.
    Append {
        /// Text of the record.
        text: Arc<str>,
    },
    /// Send the runner the complete set of models to have loaded; idempotent.
    Order {
        /// Runner that receives the order.
        runner: RunnerId,
        /// Fencing number of the holder.
        fence: FencingNumber,
        /// All models that the runner should have loaded.
        models: Vec<ModelName>,
    },
    /// This VM no longer holds the place: cancel immediately all orders to its runners that
    /// are not yet written.
    StopOrders {
        /// Place that was lost.
        place: PlaceName,
    },
}
