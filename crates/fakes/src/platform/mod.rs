//! Stand-ins for the users' platform: its store and its runners, by their published pages.

mod endless_bytes;
mod runner_answers;
mod runner_crash;
mod runner_fake;
mod runner_moves;
mod runner_queue;
mod runner_records;
mod runner_request;
mod runner_script;
mod runner_server;
mod runner_setters;
mod runner_settings;
mod runner_silence;
mod runner_state;
mod store_fake;
mod stream_memory;

pub use endless_bytes::EndlessBytes;
pub use runner_crash::{CrashLook, CrashTrigger};
pub use runner_fake::RunnerFake;
pub use runner_records::RunnerVisit;
pub use runner_request::RunnerRequest;
pub use runner_script::{LONG_BODY_BYTES, RunnerScript};
pub use runner_settings::{BrittleRoom, RunnerFakeSettings, SharedScripts};
pub use store_fake::{StoreCopy, StoreFake, StoreFault};
pub use stream_memory::StreamMemory;
