//! Call scheduling: load estimation, admission control, queueing and choice of a runner.
//!
//! [`RouteScheduler`] is a deterministic state machine: it takes the current time and an
//! event, and returns actions. It performs no I/O, does not read the clock, and seeds its
//! random number generator from its settings.

mod baseline;
mod call_record;
mod decision_log;
mod event;
mod forecast;
mod length_estimate;
mod length_group;
mod length_prior;
mod length_table;
mod pause_model;
mod prefix_table;
mod rate_limiter;
mod route_summary;
mod runner_health;
mod runner_ramp;
mod runner_score;
mod runner_speed;
mod runner_view;
mod scheduler;
mod scheduler_dispatch;
mod scheduler_place;
mod scheduler_refuse;
mod scheduler_relocate;
mod scheduler_reports;
mod scheduler_speeds;
mod scheduler_waits;
mod send_rate;
mod service_view;
mod subset;
mod wait_queue;

pub use call_record::CallRecord;
pub use event::{
    CallEnd, CallId, PolicyName, RouteAction, RouteCall, RouteEvent, RouteMember, RouteSettings,
};
pub use forecast::{HORIZON_COUNT, HORIZON_TOKENS, MemoryForecast};
pub use length_estimate::LengthEstimate;
pub use length_group::LengthGroup;
pub use length_prior::LengthPrior;
pub use length_table::LengthTable;
pub use pause_model::PauseModel;
pub use prefix_table::PrefixTable;
pub use rate_limiter::RateLimiter;
pub use route_summary::{RouteCounters, RouteDecision, RouteSummary, RunnerSummary};
pub use runner_health::RunnerHealth;
pub use runner_ramp::RunnerRamp;
pub use runner_score::RunnerScore;
pub use runner_speed::{PresentSpeed, RunnerSpeed, SpeedEvidence};
pub use runner_view::RunnerView;
pub use scheduler::RouteScheduler;
pub use scheduler_speeds::SpeedStatement;
pub use service_view::ServiceView;
pub use wait_queue::WaitQueue;
