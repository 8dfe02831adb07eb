//! Stewards as processes before the stand-ins.

mod fleet;
mod frozen_holder;
mod orders;
mod test_fleet;
