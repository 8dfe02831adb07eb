//! Common types of the system: identifiers, sizes, times, reports and signatures.
//!
//! This crate performs no I/O, reads no clock and generates no random numbers.

mod fields;
mod fingerprint;
mod hex;
mod ids;
mod log_page;
mod mac;
mod numbers;
mod outcome;
mod prefix;
pub mod prelude;
mod rate;
mod rendezvous;
mod report;
mod time;
mod vm;

pub use fields::{join_fields, split_fields};
pub use fingerprint::RequestContent;
pub use hex::{from_hex, to_hex};
pub use ids::*;
pub use log_page::{LogPage, LogRecord};
pub use mac::{KeyId, MacError, SigningKey, SigningKeys};
pub use numbers::*;
pub use outcome::{CallOutcome, RefusalReason};
pub use prefix::{PROMPT_PREFIX_BYTES, prompt_prefix_hash};
pub use rate::{RateError, RequestRate};
pub use rendezvous::{rendezvous_order, rendezvous_score};
pub use report::{CacheEvent, RunnerReport};
pub use time::{TimePoint, TimeSpan};
pub use vm::{VmRecord, VmRole, VmState};
