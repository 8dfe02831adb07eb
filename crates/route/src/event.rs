//! What a [`crate::RouteScheduler`] is told and what it answers.

use std::fmt;
use std::str::FromStr;

use base::{AttemptNumber, CacheEvent, prelude::*};
use config::{CallPriority, PolicyWeights, ServiceKind};
use serde::{Deserialize, Serialize};

/// Number of a call inside one entry; never reused by it.
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

/// The rule by which a runner is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PolicyName {
    /// Each runner in turn.
    RoundRobin,
    /// The least reported load.
    LeastLoad,
    /// The least reported load, corrected by what this entry sent and saw end since.
    LeastLoadCorrected,
    /// The less loaded of two drawn at random (Mitzenmacher, 2001).
    TwoChoices,
    /// The same, with the corrected load.
    TwoChoicesCorrected,
    /// The product's own.
    #[default]
    Product,
}

impl PolicyName {
    /// All of them; the product's own is the last one.
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

/// Settings of a scheduler; one scheduler serves one entry.
#[derive(Debug, Clone)]
pub struct RouteSettings {
    /// The rule in use.
    pub policy: PolicyName,
    /// Seed of its random numbers.
    pub seed: u64,
    /// The failure domain of the entry.
    pub place: PlaceName,
    /// Calls that may wait in this entry.
    pub queue_limit: usize,
}

/// A target of a service, as the steward's view has it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteMember {
    /// The runner.
    pub runner: RunnerId,
    /// Its failure domain.
    pub place: PlaceName,
    /// It gets no new work.
    pub leaving: bool,
}

/// A call that wants a runner.
#[derive(Debug, Clone)]
pub struct RouteCall {
    /// Unique within the entry.
    pub id: CallId,
    /// Its service.
    pub service: ServiceName,
    /// Its model; none for plain services.
    pub model: Option<ModelName>,
    /// Whose call it is.
    pub workspace: WorkspaceId,
    /// How urgent it is.
    pub priority: CallPriority,
    /// Length of the prompt.
    pub prompt_tokens: TokenCount,
    /// Limit that the caller gave for the output.
    pub max_tokens: TokenCount,
    /// Hash of the start of the prompt, as engines use it in cache events.
    pub prefix_hash: u64,
    /// When the first token is due; an answer that begins later is of less use.
    pub first_token_target: Option<TimePoint>,
    /// When the caller has no more use for the answer.
    pub deadline: TimePoint,
    /// Tokens have to be passed on as they come.
    pub streamed: bool,
    /// It can be taken off its runner and be continued on another one later.
    pub movable: bool,
    /// Tokens produced by earlier attempts, which a new attempt continues from.
    pub produced_tokens: TokenCount,
    /// Runners that refused or lost earlier attempts: taken again only if no other is left.
    pub tried_runners: Vec<RunnerId>,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallEnd {
    /// It produced its whole answer.
    Finished,
    /// The runner refused it and did not run it.
    Refused,
    /// The runner was lost or broke; the call is not asked for again under this number.
    Failed,
    /// Cancelled, as when the caller disconnected; says nothing about the runner.
    Cancelled,
}

/// What the scheduler is told.
#[derive(Debug, Clone)]
pub enum RouteEvent {
    /// A service is in force with these weights and shares; replaces earlier ones.
    Service {
        /// The service.
        service: ServiceName,
        /// Kind of its targets.
        kind: ServiceKind,
        /// What its users weigh.
        weights: PolicyWeights,
        /// Relative share of each workspace.
        shares: Vec<(WorkspaceId, u32)>,
    },
    /// The targets of a service; replaces earlier ones.
    Members {
        /// The service.
        service: ServiceName,
        /// All its targets.
        members: Vec<RouteMember>,
    },
    /// A load report arrived; its age is counted up to now.
    Report(RunnerReport),
    /// Prompt tokens that a runner has been sent by all entries and has not prefilled.
    PendingPrefill {
        /// The runner.
        runner: RunnerId,
        /// The tokens, as of now.
        tokens: u64,
    },
    /// Whether calls wait at other entries that can still be served in time.
    PeersWaiting {
        /// The service.
        service: ServiceName,
        /// Whether such calls wait.
        peers_waiting: bool,
    },
    /// A cache event arrived.
    Cache {
        /// The engine.
        runner: RunnerId,
        /// What changed.
        event: CacheEvent,
    },
    /// A new call, or a further attempt of one that ended.
    Arrive(RouteCall),
    /// An attempt has produced its tokens up to and including `index`.
    Progress {
        /// The call.
        call: CallId,
        /// Position of its newest token.
        index: TokenIndex,
    },
    /// An attempt ended.
    Ended {
        /// The call.
        call: CallId,
        /// How.
        end: CallEnd,
    },
    /// Time passed; to be given at least every 10 ms while calls wait.
    Tick,
}

/// What the scheduler wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RouteAction {
    /// Send the call to this runner now.
    Send {
        /// The call.
        call: CallId,
        /// The target.
        runner: RunnerId,
        /// Number of this attempt.
        attempt: AttemptNumber,
    },
    /// Tell the caller now that its call was not run.
    Refuse {
        /// The call.
        call: CallId,
        /// Why.
        reason: RefusalReason,
        /// Time after which the caller may retry.
        retry_after: TimeSpan,
    },
    /// Cancel the attempt on its runner; the scheduler keeps the call in its queue and
    /// sends it again as a further attempt, which continues from the tokens produced.
    Withdraw {
        /// The call.
        call: CallId,
        /// The target that has it now.
        runner: RunnerId,
    },
}
