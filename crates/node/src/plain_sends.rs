//! The sends of a plain call that are under way at once: a first one, and later ones if that takes long.
//!
//! Load pattern: a runner falls silent for a second or so and goes on, while the others are full or the
//! budget for repeats is used up. A send is given up only for an answer of another one: until then its
//! runner may be the one that answers.

use std::future::pending;
use std::pin::pin;
use std::rc::Rc;

use base::prelude::*;
use dispatch::RouteCommand;
use futures_util::stream::FuturesUnordered;
use futures_util::{FutureExt, StreamExt, select_biased};
use hyper::Response;
use hyper::body::Bytes;
use route::CallEnd;
use serving::{AttemptTracker, RouteKind, RunnerLoss, RunnerRecord, SendOutcome};

use crate::call::Call;
use crate::call_attempt::{may_repeat, record_send_failure};
use crate::call_log::{log_send, may_log};
use crate::context::NodeContext;
use crate::hedged_call::{RaceEnd, may_hedge, race_plain};
use crate::metrics::WithheldLabels;
use crate::plain_send::{PlainSend, SendPlace, SingleSend};
use crate::reach::suspect_runner;
use crate::route_ticket::RouteTicket;
use crate::router::RouterService;
use crate::runner_gate::find_block;
use crate::runner_send::{SendFailure, SendPlan};

/// Time for an answer, as a multiple of the route's target latency, after which another runner is asked
/// as well.
const LATE_FACTOR: u64 = 2;
/// Pause until it is looked again for a runner that can take a late call.
const LOOK_PAUSE: TimeSpan = TimeSpan::millis(100);

/// The sends of a call that are under way.
pub(crate) struct PlainSends<'a> {
    context: &'a Rc<NodeContext>,
    router: &'a RouterService,
    call: &'a Rc<Call>,
    sends: FuturesUnordered<PlainSend<'a>>,
    /// When another runner is asked as well; `None` if no further send is allowed.
    late_at: Option<TimePoint>,
    /// Whether it is known that no runner can take the call now.
    is_denied: bool,
}

impl<'a> PlainSends<'a> {
    /// Sends the call to its first runner.
    pub(crate) fn new(
        context: &'a Rc<NodeContext>,
        router: &'a RouterService,
        call: &'a Rc<Call>,
        tracker: &AttemptTracker,
        (ticket, runner): (RouteTicket, RunnerRecord),
    ) -> Self {
        let is_repeatable = call.route.kind == RouteKind::Idempotent;
        let late_at = is_repeatable.then(|| context.now() + late_after(call));
        let sends = FuturesUnordered::new();
        let mut begun = Self { context, router, call, sends, late_at, is_denied: false };
        let plan = SendPlan::first(runner, None);
        call.open_sends.borrow_mut().push(plan.runner.runner.clone());
        let tracker = tracker.clone();
        if may_hedge(context, call, &tracker) {
            begun.sends.push(PlainSend::Raced(Box::pin(async move {
                race_plain(context, router, call, &tracker, (ticket, plan)).await
            })));
        } else {
            begun.push_single(ticket, plan);
        }
        begun
    }

    /// Whether no send is under way.
    pub(crate) fn is_empty(&self) -> bool {
        self.sends.is_empty()
    }

    /// Waits for the next send that ends, and begins another one if that takes long. `None` if none is
    /// under way.
    pub(crate) async fn next(
        &mut self,
        tracker: &AttemptTracker,
        tried: &[RunnerId],
    ) -> Option<RaceEnd<Response<Bytes>>> {
        loop {
            let late_at = self.late_at;
            let now = self.context.now();
            let late = async {
                match late_at {
                    Some(at) => kernel::sleep(at.since(now).into()).await,
                    None => pending().await,
                }
            };
            let mut late = pin!(late.fuse());
            let ended = select_biased! {
                ended = self.sends.next() => Some(ended),
                () = late => None,
            };
            match ended {
                Some(ended) => {
                    if let Some(end) = &ended {
                        self.forget(end);
                    }
                    return ended;
                }
                None => self.begin_late(tracker, tried),
            }
        }
    }

    /// Takes the runners of an ended send from those that work on the call.
    fn forget(&self, end: &RaceEnd<Response<Bytes>>) {
        let failed = end.failed.as_ref().map(|failed| &failed.plan.runner.runner);
        let ended = [Some(&end.last.plan.runner.runner), failed, end.cancelled.as_ref()];
        self.call.open_sends.borrow_mut().retain(|open| !ended.contains(&Some(open)));
    }

    /// Sends the call to another runner as well, if one can take it at once and the limits of the route
    /// and of the budget allow that. The others are only late, and may be silent to all.
    fn begin_late(&mut self, tracker: &AttemptTracker, tried: &[RunnerId]) {
        let (context, call) = (self.context, self.call);
        self.suspect_open();
        let open = call.open_sends.borrow().clone();
        let mut with_open = tracker.clone();
        for _ in &open {
            with_open.record_send(SendOutcome::Unknown);
        }
        if !with_open.may_send() || call.deadline <= context.now() {
            self.late_at = None;
            return;
        }
        let unwanted: Vec<RunnerId> = tried.iter().chain(&open).cloned().collect();
        let Some((ticket, runner)) = self.find_free_runner(&unwanted) else {
            self.late_at = Some(context.now() + LOOK_PAUSE);
            if !std::mem::replace(&mut self.is_denied, true) {
                note_late(context, call, "no_other_runner");
            }
            return;
        };
        if !may_repeat(context, call) {
            ticket.finish(CallEnd::Cancelled);
            self.late_at = None;
            note_late(context, call, "budget_spent");
            return;
        }
        note_late(context, call, "sent");
        self.late_at = Some(context.now() + late_after(call));
        let load = ticket.runner_summary(&runner.runner);
        log_send(context, call, &runner.runner, None, load.as_ref(), with_open.sends());
        call.open_sends.borrow_mut().push(runner.runner.clone());
        self.push_single(ticket, SendPlan::first(runner, None));
    }

    /// Has the runners asked that have not answered.
    fn suspect_open(&self) {
        let open = self.call.open_sends.borrow();
        let runners = self.context.runners.borrow();
        for entry in open.iter().filter_map(|runner| runners.get(runner)) {
            suspect_runner(self.context, &entry.record);
        }
    }

    /// A place at a runner that takes the call at once and is not among `unwanted`.
    fn find_free_runner(&self, unwanted: &[RunnerId]) -> Option<(RouteTicket, RunnerRecord)> {
        let mut ticket = self.router.open(self.call.route_call(unwanted));
        let command = ticket.next_command().now_or_never();
        let assigned = match command {
            Some(RouteCommand::Send { runner }) if !unwanted.contains(&runner) => Some(runner),
            _ => None,
        };
        let known = assigned.and_then(|runner| {
            self.context.runners.borrow().get(&runner).map(|entry| entry.record.clone())
        });
        let is_open =
            |runner: &RunnerRecord| find_block(self.context, &runner.incarnation()).is_none();
        if let Some(runner) = known.filter(is_open) {
            return Some((ticket, runner));
        }
        ticket.finish(CallEnd::Cancelled);
        None
    }

    fn push_single(&mut self, ticket: RouteTicket, plan: SendPlan) {
        let late_at = self.context.now() + late_after(self.call);
        let single = SingleSend::new(self.context, self.call, (ticket, plan), late_at);
        self.sends.push(PlainSend::Single(Box::new(single)));
    }

    /// Gives up the sends that are still under way, since another one was answered. A runner that is late
    /// has failed to answer.
    pub(crate) fn give_up(&mut self) {
        // All connections close before the end of any send is reported.
        let sends = std::mem::take(&mut self.sends).into_iter();
        let mut places: Vec<SendPlace> = sends.filter_map(PlainSend::close).collect();
        // In the order in which they began.
        places.sort_by_key(|place| place.late_at);
        let now = self.context.now();
        for SendPlace { ticket, runner, late_at } in places {
            if now < late_at {
                ticket.finish(CallEnd::Cancelled);
                continue;
            }
            let failure = SendFailure::stream_lost("no answer in time", RunnerLoss::NoAnswer);
            record_send_failure(self.context, self.router, self.call, &runner, &failure);
            ticket.finish(failure.end);
        }
    }
}

impl Drop for PlainSends<'_> {
    fn drop(&mut self) {
        self.call.open_sends.borrow_mut().clear();
    }
}

/// Time for an answer after which a send is late.
fn late_after(call: &Call) -> TimeSpan {
    TimeSpan(call.route.target_latency.0.saturating_mul(LATE_FACTOR))
}

/// Counts and logs whether a late call was sent to another runner as well.
fn note_late(context: &NodeContext, call: &Call, reason: &'static str) {
    context.metrics.late_sends.get_or_create(&WithheldLabels { reason }).inc();
    if may_log(context) {
        let waited_ms = context.now().since(call.arrived).as_millis();
        tracing::info!(event = "send_late", request = %call.attempt, reason, waited_ms);
    }
}
