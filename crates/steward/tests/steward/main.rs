//! Stewards as processes before the stand-ins.

mod fleet;
mod orders;
mod test_fleet;
