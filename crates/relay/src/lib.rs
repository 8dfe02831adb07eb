//! The way of one generation's tokens to its caller: once each, in order, whole.
//!
//! [`TokenRelay`] is the decision for one call as a plain struct: it takes the time and
//! an event and gives actions. [`StreamCursor`] is what the caller carries, so that any
//! entry can go on after the one that served it is gone.
//!
//! # Going on at another entry
//! The new entry has the cursor but not the earlier tokens. It reads the engine's stream
//! again from the first token only if it could use them: the model continues from a
//! prefix and the caller sent its prompt along. A second loss then ends no stream.
//! Otherwise it reads from the first token that was not delivered, since re-reading
//! would load engines just when the callers of a dead entry all come back; a runner
//! that is lost then ends the stream as incomplete.

mod action;
mod counters;
mod cursor;
mod error;
mod event;
mod prefix;
mod recovery;
mod relay;
mod settings;

pub use action::{EndCause, RelayAction, RelayEnd};
pub use counters::RelayCounters;
pub use cursor::StreamCursor;
pub use error::{RelayError, Result};
pub use event::{ReadNumber, RelayEvent, StreamToken};
pub use relay::{RelayPhase, TokenRelay};
pub use settings::{RelayLimits, RelaySettings};
