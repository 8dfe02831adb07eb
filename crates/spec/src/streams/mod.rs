//! Token streams: engines, readings that break, entries that die, and one caller.

mod step;
mod variant;
mod world;

pub use variant::{StreamKind, StreamVariant, check_streams};
