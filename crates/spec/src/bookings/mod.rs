//! Bookings with homes, forwarding, planned stops and adoption.

mod step;
mod variant;
mod world;

pub use variant::{BookingVariant, check_bookings};
