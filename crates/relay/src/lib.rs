//! Exactly-once, in-order delivery of one generation's tokens to its caller.
//!
//! [`TokenRelay`] is the state machine of one call: it takes the current time and an event
//! and returns actions. It performs no I/O. [`StreamCursor`] is the resume position that the
//! caller holds, so that any entry can resume the stream when the serving entry is gone.
//!
//! # Resuming at another entry
//! The new entry has the cursor but not the earlier tokens. It re-reads the engine's stream
//! from the first token only if it could use those tokens: the model continues from a
//! prefix and the caller sent its prompt again. The stream then survives the loss of the
//! runner as well.
//!
//! Otherwise it reads from the first undelivered token, because re-reading would load the
//! engines just when all callers of a failed entry reconnect. The loss of the runner then
//! ends the stream as incomplete.

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
