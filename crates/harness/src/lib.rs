//! Starts the real processes for tests and for the demo: spawn, fault, assert.
//!
//! Only this crate and the tests start processes; the product's own never do.

mod addresses;
mod attempt_end;
mod caller;
mod error;
mod keys;
mod link;
mod node_caller;
mod node_fleet;
mod node_process;
mod process;
mod seen_stream;
mod socket_owner;
mod stack;
mod stack_plan;
mod wait;

pub use addresses::AddressBlock;
pub use attempt_end::{AttemptEnd, book};
pub use caller::{CallAnswer, TestCaller, TokenStream};
pub use error::{HarnessError, Result};
pub use keys::TestKeys;
pub use link::{LinkState, TestLink};
pub use node_caller::{CallerRequest, WholeAnswer};
pub use node_fleet::{HOST, KEY, NodeFleet, config};
pub use node_process::NodeProcess;
pub use process::{TestProcess, program_path, run_tool};
pub use seen_stream::SeenStream;
pub use stack::{OPERATOR_TOKEN, TestStack};
pub use stack_plan::{RunnerPlan, StackPlan, VmPlan};
pub use wait::wait_until;
