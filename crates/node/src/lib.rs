//! The node: the one process of a machine on the users' platform.
//!
//! It follows the store, talks to the other nodes, tells callers which addresses to use,
//! and takes their requests to the runners.

mod call;
mod call_log;
mod context;
mod dependency;
mod error;
mod follow_nodes;
mod follow_operators;
mod follow_runners;
mod front;
mod lookups;
mod metrics;
mod peer_link;
mod peer_server;
mod plain_call;
mod process;
mod router;
mod runner_send;
mod runner_watch;
mod stream_call;
mod stream_change;
mod stream_move;
mod stream_pump;
mod stream_source;

pub use error::{NodeError, Result};
pub use process::run_node;
