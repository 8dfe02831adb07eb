//! Input events and output actions of [`crate::RouteScheduler`].

use std::fmt;
use std::str::FromStr;

use base::{AttemptNumber, CacheEvent, prelude::*};
use config::{CallPriority, PolicyWeights, ServiceKind};
use serde::{Deserialize, Serialize};

use crate::{MemoryForecast, SpeedStatement};

/// Identifier of a call, unique within one entry and never reused by it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallId(pub u64);

impl fmt::Display for CallId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "call-{}", self.0)
    }
}

impl FromStr for CallId {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.trim_start_matches("call-").parse().map(Self)
    }
}

/// Load-balancing policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PolicyName {
    /// Each runner in rotation.
    RoundRobin,
    /// The runner with the least reported load.
    LeastLoad,
    /// The least reported load, corrected by the calls that this entry sent and saw end
    /// since the report.
    LeastLoadCorrected,
    /// The less loaded of two runners drawn at random (Mitzenmacher, 2001).
    TwoChoices,
    /// [`Self::TwoChoices`] with the corrected load.
    TwoChoicesCorrected,
    /// The production policy: admission by forecast memory, with queueing.
    #[default]
    Product,
}

impl PolicyName {
    /// All policies; the production policy is last.
    pub const ALL: [Self; 6] = [
        Self::RoundRobin,
        Self::LeastLoad,
        Self::LeastLoadCorrected,
        Self::TwoChoices,
        Self::TwoChoicesCorrected,
        Self::Product,
    ];
}

impl fmt::Display for PolicyName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::RoundRobin => "round-robin",
            Self::LeastLoad => "least-load",
            Self::LeastLoadCorrected => "least-load-corrected",
            Self::TwoChoices => "two-choices",
            Self::TwoChoicesCorrected => "two-choices-corrected",
            Self::Product => "product",
        })
    }
}

/// Settings of a scheduler; each entry has one scheduler.
#[derive(Debug, Clone)]
pub struct RouteSettings {
    /// Load-balancing policy.
    pub policy: PolicyName,
    /// Seed of the scheduler's random number generator.
    pub seed: u64,
    /// Failure domain of the entry.
    pub place: PlaceName,
    /// Maximum number of calls that wait in this entry.
    pub queue_limit: usize,
}

/// A runner that serves a service, as listed in the steward's view.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteMember {
    /// The runner.
    pub runner: RunnerId,
    /// Failure domain of the runner.
    pub place: PlaceName,
    /// The runner is draining and gets no new calls.
    pub leaving: bool,
}

/// A call to be scheduled on a runner.
#[derive(Debug, Clone)]
pub struct RouteCall {
    /// Unique within the entry.
    pub id: CallId,
    /// Requested service.
    pub service: ServiceName,
    /// Requested model; none for plain services.
    pub model: Option<ModelName>,
    /// Workspace that the call is accounted to.
    pub workspace: WorkspaceId,
    /// Scheduling priority.
    pub priority: CallPriority,
    /// Prompt length.
    pub prompt_tokens: TokenCount,
    /// Output limit set by the caller.
    pub max_tokens: TokenCount,
    /// The caller's own estimate of the output's length.
    pub length_hint: Option<TokenCount>,
    /// Hash of the prompt's prefix, as used by engines in cache events.
    pub prefix_hash: u64,
    /// Latency objective: when the first token is due. An answer that begins later is of
    /// less use.
    pub first_token_target: Option<TimePoint>,
    /// When the answer becomes useless to the caller.
    pub deadline: TimePoint,
    /// Tokens are forwarded to the caller as they arrive.
    pub streamed: bool,
    /// The call can be withdrawn from its runner and continued later on another one.
    pub movable: bool,
    /// Tokens produced by earlier attempts, from which a new attempt continues.
    pub produced_tokens: TokenCount,
    /// Runners that refused or lost earlier attempts; chosen again only if no other is left.
    pub tried_runners: Vec<RunnerId>,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallEnd {
    /// The runner produced the complete answer.
    Finished,
    /// The runner refused the call without running it.
    Refused,
    /// The runner was lost or returned an error; this call id is not used for a retry.
    Failed,
    /// Cancelled, as when the caller disconnected; says nothing about the runner.
    Cancelled,
}

/// Input of the scheduler.
#[derive(Debug, Clone)]
pub enum RouteEvent {
    /// The configuration of a service; replaces the earlier one.
    Service {
        /// The service.
        service: ServiceName,
        /// Kind of its runners.
        kind: ServiceKind,
        /// Cost weights of the service.
        weights: PolicyWeights,
        /// Weight of each workspace in fair queueing.
        shares: Vec<(WorkspaceId, u32)>,
    },
    /// The runners of a service; replaces the earlier list.
    Members {
        /// The service.
        service: ServiceName,
        /// All runners of the service.
        members: Vec<RouteMember>,
    },
    /// A load report arrived; its age is relative to the time of this event.
    Report(RunnerReport),
    /// Prompt tokens that all entries have sent to a runner and that it has not prefilled.
    PendingPrefill {
        /// The runner.
        runner: RunnerId,
        /// Number of tokens at the time of this event.
        tokens: u64,
    },
    /// Memory that calls and copies of other entries need at a runner, as these entries
    /// forecast it.
    OtherForecast {
        /// The runner.
        runner: RunnerId,
        /// Sum over all other entries, with the copies of this one.
        forecast: MemoryForecast,
    },
    /// A runner that this entry could not reach is reached again: failures until then say nothing
    /// about it.
    RunnerReached {
        /// The runner.
        runner: RunnerId,
    },
    /// A runner accepts no calls before a time. An event with an earlier time has no effect.
    RunnerWait {
        /// The runner.
        runner: RunnerId,
        /// End of its wait.
        until: TimePoint,
    },
    /// The rate of calls that a runner takes from this entry has changed.
    RunnerLimit {
        /// The runner.
        runner: RunnerId,
        /// This entry's share of the runner's limit; none if it has no limit.
        rate: Option<RequestRate>,
    },
    /// The number of further calls that a runner can get from this entry has changed.
    RunnerRoom {
        /// The runner.
        runner: RunnerId,
        /// Number of calls; none if there is no such limit.
        calls: Option<u32>,
        /// When the runner can get further calls; none if that is not known.
        free_at: Option<TimePoint>,
    },
    /// The bound of pauses in streams of a service.
    PauseBound {
        /// The service.
        service: ServiceName,
        /// Longest pause between two events; none if it has no bound.
        bound: Option<TimeSpan>,
        /// Tokens of an event.
        event_tokens: u32,
    },
    /// A runner stated how long work takes there at this moment.
    SpeedFigure {
        /// The runner.
        runner: RunnerId,
        /// Factor by which work takes longer than usual.
        factor: f64,
    },
    /// Another entry stated what it observed of a runner's speed.
    SpeedTold(SpeedStatement),
    /// Other entries have waiting calls that can still meet their first-token target.
    PeersWaiting {
        /// The service.
        service: ServiceName,
        /// Number of such entries.
        waiting_peers: usize,
    },
    /// A cache event arrived.
    Cache {
        /// The runner whose cache changed.
        runner: RunnerId,
        /// The change.
        event: CacheEvent,
    },
    /// A new call, or a further attempt of a call whose previous attempt ended.
    Arrive(RouteCall),
    /// An attempt has produced its tokens up to and including `index`.
    Progress {
        /// The call.
        call: CallId,
        /// Index of the newest token.
        index: TokenIndex,
    },
    /// The time until the next tokens of a call says nothing about its runner: the caller was slow
    /// to take those before.
    ProgressHeld {
        /// The call.
        call: CallId,
    },
    /// An attempt ended.
    Ended {
        /// The call.
        call: CallId,
        /// How it ended.
        end: CallEnd,
    },
    /// Timer tick; must be delivered at least every 10 ms while calls wait.
    Tick,
}

/// Output of the scheduler.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RouteAction {
    /// Send the call to this runner now.
    Send {
        /// The call.
        call: CallId,
        /// Destination.
        runner: RunnerId,
        /// Number of this attempt.
        attempt: AttemptNumber,
    },
    /// Answer the caller that its call was not run.
    Refuse {
        /// The call.
        call: CallId,
        /// Reason for the refusal.
        reason: RefusalReason,
        /// Time after which the caller may retry.
        retry_after: TimeSpan,
    },
    /// Cancel the attempt on its runner. The scheduler requeues the call and sends it again
    /// as a further attempt, which continues from the tokens already produced.
    Withdraw {
        /// The call.
        call: CallId,
        /// The runner that has the call now.
        runner: RunnerId,
    },
}
