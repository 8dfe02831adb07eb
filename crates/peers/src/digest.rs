//! What stewards tell each other about the fleet.

use std::net::SocketAddr;

use base::CacheEvent;
use base::prelude::*;
use serde::{Deserialize, Serialize};

use crate::EntryStatus;

/// What a steward says about its own machine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeRecord {
    /// The machine.
    pub vm: VmId,
    /// Its failure domain.
    pub place: PlaceName,
    /// UDP address of its steward.
    pub steward: SocketAddr,
    /// The steward's start.
    pub incarnation: VmIncarnation,
    /// Orders the starts of one machine for those who hear of it by others only; a start
    /// that hears of a higher one of its machine goes above it.
    pub generation: u64,
    /// Grows with each change of this record within one start.
    pub sequence: u64,
    /// The machine stops: no new callers.
    pub leaving: bool,
    /// Its entries.
    pub entries: Vec<EntryStatus>,
    /// Models to which no new calls go on a runner, since this machine's orders unload them.
    pub draining: Vec<(RunnerId, ModelName)>,
}

/// A machine's record as it is passed on, and whether its neighbours miss it.
///
/// Higher generations come before lower ones, then higher sequences, then `down`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeNews {
    /// The record.
    pub record: NodeRecord,
    /// The machine has been silent since it said this.
    pub down: bool,
}

impl NodeNews {
    /// The order of news about one machine.
    #[must_use]
    pub fn rank(&self) -> (u64, u64, bool) {
        (self.record.generation, self.record.sequence, self.down)
    }
}

/// A runner's start that gets no new work, ever.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingWord {
    /// The runner.
    pub runner: RunnerId,
    /// Its start.
    pub incarnation: u64,
}

/// What seldom changes in a runner's reports.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportDetail {
    /// All memory blocks.
    pub total_blocks: BlockCount,
    /// Tokens that fit into one block.
    pub block_tokens: u32,
    /// Models loaded.
    pub models: Vec<ModelName>,
}

/// A runner's report without what the receiver has already.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportDelta {
    /// The runner.
    pub runner: RunnerId,
    /// Its start.
    pub incarnation: u64,
    /// Number of the report within the start.
    pub sequence: u64,
    /// How old the figures are.
    pub age: TimeSpan,
    /// Memory blocks held by running generations.
    pub used_blocks: BlockCount,
    /// What runs.
    pub running: u32,
    /// What waits inside the runner.
    pub waiting: u32,
    /// Preemptions since its start.
    pub preemptions: u64,
    /// Time of a decode step or call.
    pub step: TimeSpan,
    /// The runner leaves.
    pub leaving: bool,
    /// Highest fencing number accepted.
    pub fence: u64,
    /// The rest, if the receiver may not have it for this start.
    pub detail: Option<ReportDetail>,
}

impl ReportDelta {
    /// What `report` says, with its detail if `with_detail`.
    #[must_use]
    pub fn new(report: &RunnerReport, age: TimeSpan, with_detail: bool) -> Self {
        Self {
            runner: report.runner.clone(),
            incarnation: report.incarnation,
            sequence: report.sequence,
            age,
            used_blocks: report.used_blocks,
            running: report.running,
            waiting: report.waiting,
            preemptions: report.preemptions,
            step: report.step,
            leaving: report.leaving,
            fence: report.fence,
            detail: with_detail.then(|| ReportDetail {
                total_blocks: report.total_blocks,
                block_tokens: report.block_tokens,
                models: report.models.clone(),
            }),
        }
    }

    /// The whole report; `known` is an earlier one of the same start. None if the detail
    /// is known to neither.
    #[must_use]
    pub fn whole(self, known: Option<&RunnerReport>) -> Option<RunnerReport> {
        let known = known.filter(|known| known.incarnation == self.incarnation);
        let detail = self.detail.or_else(|| {
            known.map(|known| ReportDetail {
                total_blocks: known.total_blocks,
                block_tokens: known.block_tokens,
                models: known.models.clone(),
            })
        })?;
        Some(RunnerReport {
            runner: self.runner,
            incarnation: self.incarnation,
            sequence: self.sequence,
            age: self.age,
            used_blocks: self.used_blocks,
            total_blocks: detail.total_blocks,
            block_tokens: detail.block_tokens,
            running: self.running,
            waiting: self.waiting,
            preemptions: self.preemptions,
            step: self.step,
            leaving: self.leaving,
            models: detail.models,
            fence: self.fence,
        })
    }
}

/// A position in the changes of one steward's start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ChangeCursor {
    /// The steward's start.
    pub incarnation: VmIncarnation,
    /// Number of the last change.
    pub change: u64,
}

/// One steward's news for another: what changed since the other's last acknowledgement.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// The sender's machine.
    pub from: VmId,
    /// This digest covers the sender's changes after this one…
    pub above: u64,
    /// … up to this one.
    pub until: ChangeCursor,
    /// The receiver's changes that the sender has.
    pub seen: ChangeCursor,
    /// The sender's configuration.
    pub config_offset: LogOffset,
    /// The sender's own record, if it changed, and news of machines that the receiver
    /// does not hear itself.
    pub nodes: Vec<NodeNews>,
    /// Reports that the sender polled.
    pub reports: Vec<ReportDelta>,
    /// Leaving words that the sender learned, from whomever.
    pub leaving: Vec<LeavingWord>,
    /// Cache events that the sender polled.
    pub cache_events: Vec<(RunnerId, CacheEvent)>,
}
