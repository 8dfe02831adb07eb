//! Calls, and runs of streams, that go on through another node.

mod call_forward;
mod choice;
mod forwarded_calls;
mod moved_run;
mod offer;
mod relay;
mod resumed_run;
mod run_order;
mod run_site;
mod run_trace;
mod stop;

pub use call_forward::{ForwardEnd, TakenResume, leave_out_node, offer_resume, try_forward};
pub use forwarded_calls::{
    FORWARD_FINGERPRINT, FORWARD_OWNER, FORWARD_PATH, RESUME_PATH, answer_forwarded, answer_resumed,
};
pub use offer::ResumeOffer;
pub use relay::{answer_headers, relay_response};
pub use resumed_run::resume_run;
pub use run_order::LateOrders;
pub use run_site::RunSite;
pub use run_trace::{ResumeRefusal, RunHandle};
pub use stop::{ServingStop, unless_lost, unless_unreached, unreached_failure};
