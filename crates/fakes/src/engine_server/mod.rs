//! A model engine's interface: the step function on the process's clock, over HTTP.

mod completion_body;
mod engine_fake;
mod engine_fault;
mod engine_loop;
mod engine_refusal;
mod engine_state;
mod engine_stats;
mod generation_track;
mod model_table;
mod prompt_spec;
mod report_line;
mod server_settings;
mod token_stream;

pub use engine_fake::EngineFake;
pub use engine_fault::EngineFault;
pub use engine_stats::{AttemptStats, EngineStats, OrderStats};
pub use prompt_spec::PromptSpec;
pub use server_settings::ServerSettings;

pub(crate) use completion_body::CompletionBody;
pub(crate) use engine_refusal::EngineRefusal;
pub(crate) use engine_state::EngineState;
pub(crate) use generation_track::{GenerationTrack, TrackEnd};
pub(crate) use model_table::{ModelOrder, ModelTable};
pub(crate) use report_line::ReportLine;
