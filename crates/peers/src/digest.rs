//! The digests by which stewards exchange their views of the fleet.

use std::net::SocketAddr;

use base::CacheEvent;
use base::prelude::*;
use serde::{Deserialize, Serialize};

use crate::EntryStatus;

/// A steward's record of its own machine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeRecord {
    /// The machine.
    pub vm: VmId,
    /// Its failure domain.
    pub place: PlaceName,
    /// UDP address of its steward.
    pub steward: SocketAddr,
    /// The steward's incarnation.
    pub incarnation: VmIncarnation,
    /// Orders the incarnations of one machine for peers that get its record from others
    /// only; an incarnation that receives a higher generation of its machine exceeds it.
    pub generation: u64,
    /// Grows with each change of this record within one incarnation.
    pub sequence: u64,
    /// The machine is leaving: no new callers.
    pub leaving: bool,
    /// Its entries.
    pub entries: Vec<EntryStatus>,
    /// Models to which no new calls go on a runner, because this machine's orders unload them.
    pub draining: Vec<(RunnerId, ModelName)>,
}

/// A machine's record as peers relay it, and whether its direct peers report it as down.
///
/// Of two, the one with the higher generation counts, then the higher sequence, then `down`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeNews {
    /// The record.
    pub record: NodeRecord,
    /// The machine has been silent since it sent the record.
    pub down: bool,
}

impl NodeNews {
    /// Precedence among the updates about one machine.
    #[must_use]
    pub fn rank(&self) -> (u64, u64, bool) {
        (self.record.generation, self.record.sequence, self.down)
    }
}

/// An incarnation of a runner that is leaving: it never gets new work again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingRunner {
    /// The runner.
    pub runner: RunnerId,
    /// Its incarnation.
    pub incarnation: u64,
}

/// The fields of a runner's reports that seldom change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportDetail {
    /// All memory blocks.
    pub total_blocks: BlockCount,
    /// Tokens that fit into one block.
    pub block_tokens: u32,
    /// Models loaded.
    pub models: Vec<ModelName>,
}

/// A runner's report, without the fields that the receiver already has.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportDelta {
    /// The runner.
    pub runner: RunnerId,
    /// Its incarnation.
    pub incarnation: u64,
    /// Sequence number of the report within the incarnation.
    pub sequence: u64,
    /// How old the figures are.
    pub age: TimeSpan,
    /// Memory blocks held by running generations.
    pub used_blocks: BlockCount,
    /// Calls that are running.
    pub running: u32,
    /// Calls that are queued inside the runner.
    pub waiting: u32,
    /// Preemptions within the incarnation.
    pub preemptions: u64,
    /// Duration of a decode step or call.
    pub step: TimeSpan,
    /// The runner is leaving.
    pub leaving: bool,
    /// Highest fencing number accepted.
    pub fence: u64,
    /// The other fields, if the receiver may not have them for this incarnation.
    pub detail: Option<ReportDetail>,
}

impl ReportDelta {
    /// The delta of `report`, with its detail if `with_detail`.
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

    /// The whole report; its detail comes from the delta, or else from `known` if that is
    /// of the same incarnation. None if neither has it.
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

/// A position in the changes of one steward's incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ChangeCursor {
    /// The steward's incarnation.
    pub incarnation: VmIncarnation,
    /// Number of the last change.
    pub change: u64,
}

/// What changed at one steward since the last change that the receiver acknowledged.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// The sender's machine.
    pub from: VmId,
    /// This digest covers the sender's changes after this one…
    pub above: u64,
    /// … up to this one.
    pub until: ChangeCursor,
    /// Acknowledges the receiver's changes up to this one.
    pub seen: ChangeCursor,
    /// The sender's configuration.
    pub config_offset: LogOffset,
    /// The sender's own record, if it changed, and records of machines that are no direct
    /// peers of the receiver.
    pub nodes: Vec<NodeNews>,
    /// Reports that the sender polled.
    pub reports: Vec<ReportDelta>,
    /// Leaving runners that the sender learned of, from any source.
    pub leaving: Vec<LeavingRunner>,
    /// Cache events that the sender polled.
    pub cache_events: Vec<(RunnerId, CacheEvent)>,
}
