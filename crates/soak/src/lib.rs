//! Nodes as real processes under faults drawn from a seed, and the promises they must keep.
//!
//! Faults come from outside: signals, links that stall or break, a store that misbehaves,
//! runners that leave, crash or spoil their answers. What is checked is only what callers
//! and runners see.

mod callers;
mod calm_faults;
mod plan;
mod promises;
mod run;
mod site;

pub use plan::{SoakFault, SoakPlan, SoakStep};
pub use promises::{
    CallerKind, CallerRecord, PromiseBreach, check_answers, check_leaving, check_limit, check_part,
};
pub use run::{SoakReport, run_soak};
