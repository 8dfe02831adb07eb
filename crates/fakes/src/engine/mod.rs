//! A model engine without I/O or clock: continuous batching, paged memory, preemption
//! by recomputation and a prompt-prefix cache, in the manner of Kwon et al. (2023),
//! "Efficient Memory Management for Large Language Model Serving with `PagedAttention`".

mod engine_generation;
mod engine_model;
mod engine_request;
mod engine_settings;
mod lag_line;
mod prefix_cache;
mod step_result;

pub use engine_generation::{EngineGeneration, QueueKey};
pub use engine_model::EngineModel;
pub use engine_request::{AdmitError, AttemptKey, EngineRequest};
pub use engine_settings::EngineSettings;
pub use lag_line::LagLine;
pub use prefix_cache::PrefixCache;
pub use step_result::{StepResult, StepToken};
