//! How the stewards' cost grows with machines, runners and entries.

mod bench_fleet;
mod cell_run;
mod news_run;
mod slopes_command;
mod wire_run;

pub use bench_fleet::{BenchFleet, FleetSize};
pub use cell_run::{CellFigures, run_cell};
pub use news_run::{NewsFigures, run_news};
pub use slopes_command::SlopesCommand;
pub use wire_run::{WireFigures, run_wire};
