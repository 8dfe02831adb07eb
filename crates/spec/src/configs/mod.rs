//! The configuration fold: operators who race, checkpoints, expiry, peers and restarts.

mod step;
mod variant;
mod world;

pub use variant::{ConfigVariant, check_configs};
