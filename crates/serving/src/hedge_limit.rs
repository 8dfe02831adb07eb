//! Whether a second send of a slow request is allowed.
//!
//! Load pattern: a few runners stall for some hundred milliseconds while the others have room, so
//! that a second send is served at once. If all runners are slow, second sends would only add to
//! the load, so that they are allowed only within a share of the requests and while there is room.

use std::collections::{BTreeMap, VecDeque};

use base::prelude::*;

/// Time over which hedges are counted against requests. Long, since a node of a large fleet may
/// have few requests a second.
pub const HEDGE_WINDOW: TimeSpan = TimeSpan::seconds(60);
/// Time that one entry of the counts covers, which bounds their number.
const COUNT_SPAN: TimeSpan = TimeSpan::seconds(1);
/// Fraction of the share that is used. The rest is a margin, so that the share also holds in
/// windows that an observer starts at other instants.
const USABLE_SHARE: f64 = 0.7;
/// A hedge is denied once less than one part in this many of the request's time is left.
const LEAST_TIME_DIVISOR: u64 = 4;

/// Why a request gets no second send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum HedgeDenial {
    /// The route allows no further run.
    AttemptsUsed,
    /// Too little of the request's time is left.
    LittleTime,
    /// Calls of the service wait for a runner, here or at other nodes.
    CallsWait,
    /// A runner of the service has named a wait or a limit.
    RunnersRestricted,
    /// Only the runner of the first send is available.
    NoOtherRunner,
    /// The other runner has calls to work on.
    RunnerBusy,
    /// The other runner has been slow itself.
    RunnerSlow,
    /// The other runner is in the place of the first one, which is slow as a whole.
    PlaceSlow,
    /// The hedges have reached their share of the requests.
    ShareUsed,
    /// Less than half of the retry budget is left.
    BudgetSpent,
}

impl HedgeDenial {
    /// Name of the reason, for logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::AttemptsUsed => "attempts_used",
            Self::LittleTime => "little_time",
            Self::CallsWait => "calls_wait",
            Self::RunnersRestricted => "runners_restricted",
            Self::NoOtherRunner => "no_other_runner",
            Self::RunnerBusy => "runner_busy",
            Self::RunnerSlow => "runner_slow",
            Self::PlaceSlow => "place_slow",
            Self::ShareUsed => "share_used",
            Self::BudgetSpent => "budget_spent",
        }
    }
}

/// A slow request and its service, before a runner is chosen for a second send.
#[derive(Debug, Clone, Copy)]
pub struct HedgeRequest {
    /// Whether the route allows a further run beside the one in progress.
    pub may_send: bool,
    /// Time from the request's arrival to its deadline.
    pub whole_time: TimeSpan,
    /// Time left until the deadline.
    pub time_left: TimeSpan,
    /// Whether calls of the service wait for a runner, here or at other nodes.
    pub calls_wait: bool,
    /// Whether a runner of the service has named a wait or a limit.
    pub runners_restricted: bool,
}

impl HedgeRequest {
    /// Checks whether the request may have a second send.
    ///
    /// # Errors
    /// The reason if it may not.
    pub fn check(&self) -> Result<(), HedgeDenial> {
        let least_time = TimeSpan(self.whole_time.0 / LEAST_TIME_DIVISOR);
        if !self.may_send {
            Err(HedgeDenial::AttemptsUsed)
        } else if self.time_left <= least_time {
            Err(HedgeDenial::LittleTime)
        } else if self.calls_wait {
            Err(HedgeDenial::CallsWait)
        } else if self.runners_restricted {
            Err(HedgeDenial::RunnersRestricted)
        } else {
            Ok(())
        }
    }
}

/// The runner that is chosen for a second send.
#[derive(Debug, Clone, Copy)]
#[expect(clippy::struct_excessive_bools, reason = "independent observations of one runner")]
pub struct HedgeTarget {
    /// Whether it is the runner of the first send.
    pub is_first: bool,
    /// Whether it is in the place of the first runner.
    pub is_same_place: bool,
    /// Whether that place is slow as a whole.
    pub is_place_slow: bool,
    /// Whether the runner is slow itself.
    pub is_slow: bool,
    /// Whether it is ejected for failures or slow reports.
    pub is_ejected: bool,
    /// Calls at the runner, with this one.
    pub calls: u32,
    /// Calls that it works on at once.
    pub slots: u32,
    /// Prompt tokens that wait there, beyond those of this call.
    pub waiting_tokens: u64,
    /// Prompt tokens of this call.
    pub prompt_tokens: u64,
}

impl HedgeTarget {
    /// Checks whether the second send may go to this runner.
    ///
    /// # Errors
    /// The reason if it may not.
    pub fn check(&self) -> Result<(), HedgeDenial> {
        if self.is_first {
            Err(HedgeDenial::NoOtherRunner)
        } else if self.is_same_place && self.is_place_slow {
            Err(HedgeDenial::PlaceSlow)
        } else if self.is_slow || self.is_ejected {
            Err(HedgeDenial::RunnerSlow)
        } else if self.is_busy() {
            Err(HedgeDenial::RunnerBusy)
        } else {
            Ok(())
        }
    }
}

impl HedgeTarget {
    /// Whether the runner has more than half of its slots taken, or more prompt tokens before this
    /// call than the call brings itself. The tokens are an estimate that lags behind by a report,
    /// so that some are left at an idle runner too.
    fn is_busy(&self) -> bool {
        self.calls > (self.slots / 2).max(1) || self.waiting_tokens > self.prompt_tokens
    }
}

/// Requests and hedges in one [`COUNT_SPAN`].
#[derive(Debug, Clone, Copy)]
struct HedgeCount {
    begun: TimePoint,
    requests: u32,
    hedges: u32,
}

/// Counts of requests and hedges by service. Each node uses the share of its own requests, so that
/// all nodes together stay within the share of all requests.
#[derive(Debug, Default)]
pub struct HedgeLimit {
    share: f64,
    services: BTreeMap<ServiceName, VecDeque<HedgeCount>>,
}

impl HedgeLimit {
    /// Creates the limit; `share` is the number of hedges allowed for each request.
    #[must_use]
    pub fn new(share: f64) -> Self {
        Self { share, services: BTreeMap::new() }
    }

    /// Replaces the share.
    pub fn set_share(&mut self, share: f64) {
        self.share = share;
        if !self.is_on() {
            self.services.clear();
        }
    }

    /// The share.
    #[must_use]
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Whether any request is hedged.
    #[must_use]
    pub fn is_on(&self) -> bool {
        self.share > 0.0
    }

    /// Counts a request from a caller.
    pub fn record_request(&mut self, now: TimePoint, service: &ServiceName) {
        if self.is_on() {
            self.current(now, service).requests += 1;
        }
    }

    /// Counts a hedge.
    pub fn record_hedge(&mut self, now: TimePoint, service: &ServiceName) {
        self.current(now, service).hedges += 1;
    }

    /// Checks whether one more hedge is within the share.
    ///
    /// # Errors
    /// [`HedgeDenial::ShareUsed`] if it is not.
    pub fn check(&self, now: TimePoint, service: &ServiceName) -> Result<(), HedgeDenial> {
        let counts = self.services.get(service).into_iter().flatten();
        let recent = counts.filter(|count| now.since(count.begun) < HEDGE_WINDOW);
        let (requests, hedges) = recent.fold((0.0, 0.0), |(requests, hedges), count| {
            (requests + f64::from(count.requests), hedges + f64::from(count.hedges))
        });
        let allowed = USABLE_SHARE * self.share * requests;
        if hedges + 1.0 > allowed { Err(HedgeDenial::ShareUsed) } else { Ok(()) }
    }

    /// The counts of the present span; drops those that are older than the window.
    fn current(&mut self, now: TimePoint, service: &ServiceName) -> &mut HedgeCount {
        let counts = self.services.entry(service.clone()).or_default();
        while counts.front().is_some_and(|count| now.since(count.begun) >= HEDGE_WINDOW) {
            counts.pop_front();
        }
        if counts.back().is_none_or(|count| now.since(count.begun) >= COUNT_SPAN) {
            counts.push_back(HedgeCount { begun: now, requests: 0, hedges: 0 });
        }
        let last = counts.len() - 1;
        &mut counts[last]
    }
}
