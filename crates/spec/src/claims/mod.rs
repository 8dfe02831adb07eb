//! Orders to engines: claims in the log, fencing numbers, and VMs that pause and vanish.

mod step;
mod variant;
mod world;

pub use variant::{ClaimVariant, check_claims};
