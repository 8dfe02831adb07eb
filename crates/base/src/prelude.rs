//! Types used by most modules.

pub use std::sync::Arc;

pub use crate::{
    BlockCount, CallOutcome, GenerationId, IdempotencyKey, LogOffset, ModelName, PlaceName,
    PromptPart, RefusalReason, RequestFingerprint, RequestRate, RunnerId, RunnerReport,
    ServiceName, StoreEra, TimePoint, TimeSpan, TokenCount, TokenIndex, VmId, VmIncarnation,
    VmRecord, VmRole, VmState, WorkspaceId,
};
