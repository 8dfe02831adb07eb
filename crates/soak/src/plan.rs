//! What happens when, drawn from a seed.

use std::fmt;
use std::time::Duration;

use fakes::platform::{RunnerScript, StoreFault};
use harness::LinkState;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};

/// Nodes of a run.
pub const NODES: usize = 3;
/// Engines that serve at once.
pub const ENGINES: usize = 4;
/// Plain runners.
pub const DESKS: usize = 2;
/// Pause between two faults, in milliseconds; shorter than most faults, so that they overlap.
const PAUSE_MS: std::ops::Range<u64> = 300..1_600;
/// How long a fault lasts, in milliseconds.
const SPAN_MS: std::ops::Range<u64> = 400..4_000;

/// Seed of the returns of the store, combined with that of the plan: they are drawn apart, so
/// that the other faults of a seed stay as they are.
const RETURN_SEED: u64 = 0x5713;
/// Storms with a return of the store: one in so many.
const STORMS_PER_RETURN: u32 = 3;
/// Time from the last fault of a storm to the copy that the store comes back from, in
/// milliseconds; short, so that the return falls among faults that still last.
const COPY_MS: std::ops::Range<u64> = 0..1_000;
/// Age of that copy when the store goes away, in milliseconds.
const AGE_MS: std::ops::Range<u64> = 300..2_000;
/// How long the store is then away, in milliseconds.
const AWAY_MS: std::ops::Range<u64> = 100..1_000;

/// Seed of the faults in a calm, drawn apart like the returns.
const CALM_SEED: u64 = 0x11a7;

/// Seed of the reloads, drawn apart like the returns.
const RELOAD_SEED: u64 = 0x4a9d;
/// Series of reloads in a storm.
const RELOAD_SERIES: std::ops::Range<u32> = 1..4;
/// SIGHUPs in a series.
const RELOAD_SIGNALS: std::ops::Range<u32> = 2..9;

/// How long faults follow each other before a calm.
const STORM_SPAN: Duration = Duration::from_secs(6);
/// Time from the end of a storm to the changes that are checked in the calm: the longest
/// fault, and the time for which nothing may have disturbed a node.
const CALM_SPAN: Duration = Duration::from_millis(7_200);
/// What a return of the store adds to the calm, until its own check has been made.
const RETURN_SPAN: Duration = Duration::from_millis(3_600);
/// How long a runner names a limit, and requests with a part that crashes runners come: the time
/// until it is known everywhere, and one in which it is kept.
pub const CALM_FAULT_SPAN: Duration = Duration::from_millis(7_500);
/// Time for these checks, until the next storm.
const CHECK_SPAN: Duration = Duration::from_millis(2_800);

/// A fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SoakFault {
    /// The store misbehaves for a time.
    Store(StoreFault, Duration),
    /// The history of the store's topics is gone.
    Compact,
    /// The store goes away when a copy has the first age, and after the second time it comes back
    /// from the copy.
    Return(Duration, Duration),
    /// A node's link to the store.
    StoreLink(usize, LinkState, Duration),
    /// The link from all nodes to one engine.
    RunnerLink(usize, LinkState, Duration),
    /// A node is told to stop, and started again.
    Stop(usize),
    /// A node is killed, and started again.
    Kill(usize),
    /// A node stands still.
    Freeze(usize, Duration),
    /// The settings of a node change so many times in a row, each time with a SIGHUP.
    Reload(usize, u32),
    /// An engine says that it leaves, and is gone later; another one comes.
    Leave(usize),
    /// An engine crashes; another one comes.
    Crash(usize),
    /// The next answers of a plain runner are spoilt.
    Spoil(usize, RunnerScript),
    /// A new configuration, in which one route takes another's place.
    Configure,
    /// A plain runner names a limit for [`CALM_FAULT_SPAN`].
    Limit(usize),
    /// For [`CALM_FAULT_SPAN`] requests come whose prompt has this part, which crashes each engine.
    CrashPart(u32),
}

/// A fault and its time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SoakStep {
    /// Time from the start.
    pub at: Duration,
    /// What happens.
    pub fault: SoakFault,
}

impl fmt::Display for SoakStep {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:7.3} s  {:?}", self.at.as_secs_f64(), self.fault)
    }
}

/// All faults of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SoakPlan {
    /// The seed that it was drawn from.
    pub seed: u64,
    /// For how long callers call.
    pub span: Duration,
    /// In order of time.
    pub steps: Vec<SoakStep>,
}

impl SoakPlan {
    /// Draws a plan; the same seed gives the same plan.
    #[must_use]
    pub fn draw(seed: u64, span: Duration) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let mut returns = StdRng::seed_from_u64(seed ^ RETURN_SEED);
        let mut calms = StdRng::seed_from_u64(seed ^ CALM_SEED);
        let mut reloads = StdRng::seed_from_u64(seed ^ RELOAD_SEED);
        let mut steps = Vec::new();
        let mut at = Duration::from_secs(1);
        while at < span {
            let storm_end = at + STORM_SPAN;
            steps.extend(draw_reloads(&mut reloads, at));
            while at < storm_end {
                steps.push(SoakStep { at, fault: draw_fault(&mut random) });
                at += Duration::from_millis(random.random_range(PAUSE_MS));
            }
            at = storm_end + CALM_SPAN;
            if let Some(step) = draw_return(&mut returns, storm_end) {
                steps.push(step);
                at += RETURN_SPAN;
            }
            if let Some(fault) = draw_calm_fault(&mut calms) {
                steps.push(SoakStep { at, fault });
                at += CALM_FAULT_SPAN;
            }
            let engine = random.random_range(0..ENGINES);
            for fault in [SoakFault::Configure, SoakFault::Leave(engine)] {
                steps.push(SoakStep { at, fault });
            }
            at += CHECK_SPAN;
        }
        steps.retain(|step| step.at < span);
        steps.sort_by_key(|step| step.at);
        Self { seed, span, steps }
    }
}

/// A return of the store after the storm that ends at `storm_end`, or none.
fn draw_return(random: &mut StdRng, storm_end: Duration) -> Option<SoakStep> {
    let mut draw = |range| Duration::from_millis(random.random_range(range));
    let (at, age, away) = (storm_end + draw(COPY_MS), draw(AGE_MS), draw(AWAY_MS));
    let step = SoakStep { at, fault: SoakFault::Return(age, away) };
    random.random_ratio(1, STORMS_PER_RETURN).then_some(step)
}

/// Series of reloads in the storm that begins at `begin`.
fn draw_reloads(random: &mut StdRng, begin: Duration) -> Vec<SoakStep> {
    let count = random.random_range(RELOAD_SERIES);
    let mut step = |_| SoakStep {
        at: begin + random.random_range(Duration::ZERO..STORM_SPAN),
        fault: SoakFault::Reload(
            random.random_range(0..NODES),
            random.random_range(RELOAD_SIGNALS),
        ),
    };
    (0..count).map(&mut step).collect()
}

/// A fault that nothing else may disturb, or none.
fn draw_calm_fault(random: &mut StdRng) -> Option<SoakFault> {
    let (desk, part) = (random.random_range(0..DESKS), random.random());
    match random.random_range(0..3) {
        0 => Some(SoakFault::Limit(desk)),
        1 => Some(SoakFault::CrashPart(part)),
        _ => None,
    }
}

fn draw_fault(random: &mut StdRng) -> SoakFault {
    const LINKS: [LinkState; 4] =
        [LinkState::Stalled, LinkState::AnswersStalled, LinkState::Cut, LinkState::Lost];
    const SCRIPTS: [RunnerScript; 8] = [
        RunnerScript::Failure,
        RunnerScript::Refuse,
        RunnerScript::Truncate,
        RunnerScript::Extra,
        RunnerScript::Garbage,
        RunnerScript::OtherAttempt,
        RunnerScript::BareUnavailable,
        RunnerScript::Close,
    ];
    let span = Duration::from_millis(random.random_range(SPAN_MS));
    let node = random.random_range(0..NODES);
    let engine = random.random_range(0..ENGINES);
    let link = *LINKS.choose(random).unwrap_or(&LinkState::Cut);
    match random.random_range(0..12) {
        0 => SoakFault::Store(StoreFault::Silent, span),
        1 => SoakFault::Store(StoreFault::Busy, span),
        2 => SoakFault::Compact,
        3 => SoakFault::StoreLink(node, link, span),
        4 => SoakFault::RunnerLink(engine, link, span),
        5 => SoakFault::Stop(node),
        6 => SoakFault::Kill(node),
        7 => SoakFault::Freeze(node, span),
        8 => SoakFault::Leave(engine),
        9 => SoakFault::Crash(engine),
        10 => {
            let script = *SCRIPTS.choose(random).unwrap_or(&RunnerScript::Close);
            SoakFault::Spoil(random.random_range(0..DESKS), script)
        }
        _ => SoakFault::Configure,
    }
}
