//! Load through the callers' interface, with every promise to them checked.

mod address_book;
mod booking_call;
mod booking_ledger;
mod call_error;
mod call_reply;
mod caller_key;
mod class_tally;
mod completion_text;
mod error;
mod load_caller;
mod lookup_call;
mod promise_check;
mod retry_policy;
mod stream_call;
mod target_stats;
mod token_check;
mod traffic_command;
mod traffic_mix;
mod traffic_report;
mod traffic_run;
mod whole_call;

pub use booking_ledger::{BookingLedger, BookingTally};
pub use caller_key::CallerKey;
pub use class_tally::{ClassTally, FinalOutcome};
pub use error::{Result, TrafficError};
pub use promise_check::{PromiseCheck, Violation, ViolationKind};
pub use token_check::TokenCheck;
pub use traffic_command::TrafficCommand;
pub use traffic_mix::{ClassKind, MixClass, TrafficMix};
pub use traffic_report::{ClassReport, SpanReport, TrafficReport};
pub use traffic_run::{TrafficPlan, run_traffic};

pub(crate) use address_book::AddressBook;
pub(crate) use call_error::CallError;
pub(crate) use call_reply::{CallReply, ReplyBody};
pub(crate) use completion_text::CompletionText;
pub(crate) use load_caller::LoadCaller;
pub(crate) use retry_policy::RetryPolicy;
pub(crate) use target_stats::TargetStats;
