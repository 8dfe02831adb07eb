//! Routing policies compared in virtual time: several independent desks with lagging
//! views, on the engine's own step. There is no network, log or membership protocol.

mod bench_call;
mod bench_desk;
mod bench_fault;
mod bench_measures;
mod bench_settings;
mod call_class;
mod call_state;
mod error;
mod figure_table;
mod oracle_desk;
mod policy_command;
mod simulation;
mod simulation_engines;
mod simulation_faults;
mod turn_away_measures;
mod turn_away_plan;
mod workload;

pub use bench_call::{ArrivalPlan, BenchCall};
pub use bench_desk::{BenchDesk, BenchPolicy};
pub use bench_fault::FaultName;
pub use bench_measures::{BenchMeasures, ClassFigures, PolicyFigures};
pub use bench_settings::BenchSettings;
pub use call_class::{CallClass, LengthLaw};
pub use error::{PolicyError, Result};
pub use figure_table::FigureTable;
pub use oracle_desk::OracleDesk;
pub use policy_command::{PolicyCommand, simulate_all};
pub use simulation::simulate;
pub use turn_away_measures::{TurnAwayFigures, TurnAwayMeasures, TurnedAway};
pub use turn_away_plan::TurnAwayPlan;
pub use workload::{BenchWorkspace, Workload, WorkloadName};
