//! The operators' command line: check and publish files, and see what is in force.

mod author;
mod command;
mod config_reader;
mod error;
mod file_set;
mod fleet_status;
mod in_force_wait;
mod log_reader;
mod output;
mod plan_check;
mod plan_difference;
mod publisher;
mod request_trace;

pub use command::YardCommand;
pub use error::{ExitStatus, Result, YardError};
