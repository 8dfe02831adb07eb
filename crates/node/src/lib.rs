//! The serving node `yard-node`: one process per machine of the users' platform.
//!
//! It follows the platform's store for the configuration and the list of runners, exchanges
//! heartbeats with the other nodes, answers address look-ups and forwards callers' requests
//! to runners.

mod answer_rest;
mod block_store;
mod call;
mod call_answer;
mod call_attempt;
mod call_log;
mod caller_server;
mod context;
mod crash_watch;
mod dependency;
mod error;
mod evacuation_watch;
mod follow_configuration;
mod follow_nodes;
mod follow_runners;
mod forward;
mod heartbeat_sections;
mod hedged_call;
mod left_run;
mod limit_share;
mod load_account;
mod local_call;
mod lookups;
mod loop_watch;
mod memory_pool;
mod metrics;
mod open_calls;
mod ordered_runs;
mod peer_link;
mod peer_server;
mod plain_call;
mod plain_send;
mod plain_sends;
mod process;
mod reach;
mod route_ticket;
mod router;
mod run_copies;
mod run_end_watch;
mod run_owner;
mod runner_gate;
mod runner_notices;
mod runner_poll;
mod runner_probe;
mod runner_send;
mod signals;
mod speed_share;
mod state_fetcher;
mod state_transfer;
mod stop_intake;
mod store_reader;
mod streams;

pub use error::{NodeError, Result};
pub use process::run_node;
pub use signals::NodeSignals;
