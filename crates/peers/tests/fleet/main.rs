//! Stewards' views of the fleet, on virtual time and without sockets.

mod choice;
mod desk;
mod scale;
mod test_fleet;
