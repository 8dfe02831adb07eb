//! The life of a stream: two runners, two nodes, and one caller, in steps of 200 ms.

mod binding;
mod course;
mod faults;
mod places;
mod runner;
mod variant;
mod wire;
mod world;

pub use variant::{LifeVariant, check_lives};
