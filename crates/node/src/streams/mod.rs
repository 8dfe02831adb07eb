//! Stream calls: finding a runner, relaying its events, and going on elsewhere when it leaves, is lost
//! or falls silent.

mod left_places;
mod place_questions;
mod run_return;
mod run_stop;
mod stop_order;
mod stopped_places;
mod stream_backup;
mod stream_call;
mod stream_copy;
mod stream_end;
mod stream_handover;
mod stream_move;
mod stream_offer;
mod stream_overlap;
mod stream_places;
mod stream_pump;
mod stream_relay;
mod stream_resume;
mod stream_silence;
mod stream_source;

pub use stream_backup::choose_backup;
pub use stream_call::run_stream;
pub(crate) use stream_call::{RunnerAnswer, request_answer, start_stream};
pub use stream_copy::{CopyTask, RunCopy};
pub use stream_pump::StreamParts;
pub use stream_resume::StreamAttempts;
pub use stream_source::{CallerSide, StreamSource, is_event_stream, open_caller_side};
