//! A load from its first call to its report.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;

use base::{TimePoint, TimeSpan, prelude::Arc};
use fakes::ChangeBell;
use futures_util::future::{join_all, select};
use kernel::{MonotonicClock, sleep, spawn};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::traffic::booking_call::call_booking;
use crate::traffic::lookup_call::call_lookup;
use crate::traffic::stream_call::call_stream;
use crate::traffic::whole_call::call_whole;
use crate::traffic::{
    AddressBook, BookingLedger, CallerKey, ClassKind, ClassReport, ClassTally, LoadCaller,
    MixClass, PromiseCheck, TargetStats, TrafficMix, TrafficReport,
};

/// What to run.
#[derive(Debug, Clone)]
pub struct TrafficPlan {
    /// Addresses that every caller knows.
    pub entries: Vec<SocketAddr>,
    /// Who calls; each call is by one of them, drawn at random.
    pub callers: Vec<CallerKey>,
    /// What they call.
    pub mix: TrafficMix,
    /// How long calls arrive, in seconds.
    pub seconds: u64,
    /// How long to wait for the last answers after that, in seconds.
    pub drain_seconds: u64,
    /// Seed of all random draws.
    pub seed: u64,
    /// Direct addresses of the booking services.
    pub services: Vec<SocketAddr>,
    /// Direct addresses of the engines.
    pub engines: Vec<SocketAddr>,
}

/// What the arrivals of all classes share.
struct LoadState {
    clock: MonotonicClock,
    /// Distinguishes the keys of this run from those of earlier ones.
    run: u32,
    books: Vec<Rc<AddressBook>>,
    promises: PromiseCheck,
    ledger: Rc<RefCell<BookingLedger>>,
    in_flight: Cell<u64>,
    bell: ChangeBell,
}

/// One class while the load runs.
struct ClassRun {
    class: Rc<MixClass>,
    tally: Rc<RefCell<ClassTally>>,
    books: Vec<Rc<AddressBook>>,
    random: StdRng,
}

/// Runs the load, waits for its last answers, and checks them against the targets.
pub async fn run_traffic(plan: &TrafficPlan) -> TrafficReport {
    let before = TargetStats::ask(&plan.services, &plan.engines).await;
    let state = Rc::new(LoadState::new(plan));
    let classes = plan.mix.classes.iter().zip(1..);
    let runs: Vec<ClassRun> =
        classes.map(|(class, number)| ClassRun::new(class, &state, plan.seed, number)).collect();
    let tallies: Vec<_> = runs.iter().map(|run| Rc::clone(&run.tally)).collect();
    let until = state.clock.now() + TimeSpan::seconds(plan.seconds);
    join_all(runs.into_iter().map(|run| run.arrive(&state, until))).await;
    state.drain(until + TimeSpan::seconds(plan.drain_seconds)).await;
    let after = TargetStats::ask(&plan.services, &plan.engines).await;
    state.report(plan, &tallies, &before, &after)
}

impl ClassRun {
    fn new(class: &MixClass, state: &LoadState, seed: u64, number: u64) -> Self {
        let books = state.books.iter().filter(|book| class.is_for(book.caller()));
        Self {
            class: Rc::new(class.clone()),
            tally: Rc::default(),
            books: books.cloned().collect(),
            random: StdRng::seed_from_u64(seed ^ (number << 32)),
        }
    }

    /// Starts calls at the times of a Poisson process.
    async fn arrive(mut self, state: &Rc<LoadState>, until: TimePoint) {
        if self.class.per_second <= 0.0 || self.books.is_empty() {
            return;
        }
        let mut at = state.clock.now();
        for number in 0_u64.. {
            let share: f64 = self.random.random();
            let gap = -(1.0 - share).ln() / self.class.per_second;
            at = at + TimeSpan::from(std::time::Duration::from_secs_f64(gap));
            if at >= until {
                return;
            }
            sleep(at.since(state.clock.now()).into()).await;
            self.start_call(state, number);
        }
    }

    fn start_call(&mut self, state: &Rc<LoadState>, number: u64) {
        self.tally.borrow_mut().started += 1;
        let mut random = StdRng::from_rng(&mut self.random);
        let book = Rc::clone(&self.books[random.random_range(0..self.books.len())]);
        let caller = LoadCaller {
            class: Rc::clone(&self.class),
            tally: Rc::clone(&self.tally),
            book,
            promises: state.promises.clone(),
            ledger: Rc::clone(&state.ledger),
            clock: state.clock,
            name: Arc::from(format!("{}-{:08x}-{number}", self.class.name, state.run)),
            random,
            begin: state.clock.now(),
        };
        let state = Rc::clone(state);
        state.in_flight.set(state.in_flight.get() + 1);
        spawn(async move {
            match caller.class.kind {
                ClassKind::Streamed => call_stream(caller).await,
                ClassKind::Whole => call_whole(caller).await,
                ClassKind::Lookup => call_lookup(caller).await,
                ClassKind::Booking => call_booking(caller).await,
            }
            state.in_flight.set(state.in_flight.get() - 1);
            state.bell.ring();
        })
        .detach();
    }
}

impl LoadState {
    fn new(plan: &TrafficPlan) -> Self {
        let clock = MonotonicClock::new();
        let book = |caller: &CallerKey| {
            Rc::new(AddressBook::new(clock, caller.clone(), plan.entries.clone()))
        };
        Self {
            clock,
            run: rand::random(),
            books: plan.callers.iter().map(book).collect(),
            promises: PromiseCheck::default(),
            ledger: Rc::default(),
            in_flight: Cell::default(),
            bell: ChangeBell::default(),
        }
    }

    async fn drain(&self, deadline: TimePoint) {
        while self.in_flight.get() > 0 && self.clock.now() < deadline {
            let change = pin!(self.bell.wait_past(self.bell.rung()));
            let remaining = deadline.since(self.clock.now());
            select(change, pin!(sleep(remaining.into()))).await;
        }
    }

    fn report(
        &self,
        plan: &TrafficPlan,
        tallies: &[Rc<RefCell<ClassTally>>],
        before: &TargetStats,
        after: &TargetStats,
    ) -> TrafficReport {
        let complete = after.keeps_counts(before, plan.services.len()) && !plan.services.is_empty();
        let bookings = self.ledger.borrow().check(&after.counts, complete, &self.promises);
        let (preemptions, recomputed) = after.engine_work_since(before);
        let asked = !plan.engines.is_empty();
        let lookups: Vec<(u64, u64)> = self.books.iter().map(|book| book.lookups()).collect();
        let classes = plan.mix.classes.iter().zip(tallies);
        TrafficReport {
            seed: plan.seed,
            seconds: plan.seconds,
            classes: classes.map(|(c, tally)| ClassReport::new(&c.name, &tally.borrow())).collect(),
            bookings,
            lookups: lookups.iter().map(|(made, _)| made).sum(),
            failed_lookups: lookups.iter().map(|(_, failed)| failed).sum(),
            preemptions: asked.then_some(preemptions),
            recomputed: asked.then_some(recomputed),
            violations: self.promises.counts(),
            examples: self.promises.examples(),
        }
    }
}
