//! What the replays of engines of different speed begin with: the schedulers, and the calls that arrive.

use base::prelude::*;
use config::{PolicyWeights, ServiceKind};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use route::{PolicyName, RouteEvent, RouteMember, RouteScheduler, RouteSettings};

use crate::common::{runner, service};
use crate::speed_replay::ReplayPlan;

pub const RUNNERS: usize = 12;
pub const ENTRIES: usize = 6;
/// Time before the measured calls, in which speeds are learned.
pub const WARM_UP: TimeSpan = TimeSpan::seconds(10);
pub const MEASURED: TimeSpan = TimeSpan::seconds(20);
pub const EVENT_TOKENS: u32 = 4;
pub const PAUSE_BOUND: TimeSpan = TimeSpan::millis(180);
pub const DISTURBED_SHARE: f64 = 0.15;
pub const DISTURBED_FACTOR: f64 = 2.5;
/// Output from which a stream is long.
pub const LONG_OUTPUT: u32 = 200;
/// Calls a second that an engine of usual speed takes with a full memory.
const ENGINE_RATE: f64 = 5.5;

/// A call that arrives.
pub struct Arrival {
    pub entry: usize,
    pub at: TimePoint,
    pub prompt: u32,
    pub output: u32,
}

/// When the replay begins.
pub fn start() -> TimePoint {
    TimePoint::default() + TimeSpan::seconds(10)
}

/// An entry's scheduler, which knows all runners.
pub fn scheduler(seed: u64, uses_speeds: bool) -> RouteScheduler {
    let mut scheduler = RouteScheduler::new(RouteSettings {
        policy: PolicyName::Product,
        seed,
        place: "place-0".parse().unwrap(),
        queue_limit: 1_000,
    });
    if !uses_speeds {
        scheduler.ignore_speeds();
    }
    let weights = PolicyWeights::default();
    let kind = ServiceKind::Model;
    let configured = RouteEvent::Service { service: service(), kind, weights, shares: vec![] };
    let member = |slot| RouteMember {
        runner: runner(slot),
        place: "place-0".parse().unwrap(),
        leaving: false,
    };
    let members = (0..RUNNERS).map(member).collect();
    let bound = RouteEvent::PauseBound {
        service: service(),
        bound: Some(PAUSE_BOUND),
        event_tokens: EVENT_TOKENS,
    };
    let listed = RouteEvent::Members { service: service(), members };
    scheduler.handle_all(start(), [configured, listed, bound]);
    scheduler
}

/// The calls of a seed, by the time of their arrival.
pub fn draw_arrivals(plan: &ReplayPlan, seed: u64) -> Vec<Arrival> {
    let mut rng = StdRng::seed_from_u64(seed);
    let engines: f64 = (0..RUNNERS).map(|slot| 1.0 / plan.speeds[slot % plan.speeds.len()]).sum();
    let noise = DISTURBED_SHARE * (1.0 - 1.0 / DISTURBED_FACTOR);
    let kept = if plan.disturbed { 1.0 - noise } else { 1.0 };
    let rate = plan.load * ENGINE_RATE * engines * kept;
    let mut at = start();
    let mut arrivals = Vec::new();
    while at < start() + WARM_UP + MEASURED {
        let gap = -rng.random::<f64>().max(1e-9).ln() / rate;
        at = at + TimeSpan::micros((gap * 1e6) as u64);
        let is_long = rng.random_bool(0.5);
        let output =
            if is_long { rng.random_range(LONG_OUTPUT..600) } else { rng.random_range(16..100) };
        arrivals.push(Arrival {
            entry: rng.random_range(0..ENTRIES),
            at,
            prompt: rng.random_range(300..1_700),
            output,
        });
    }
    arrivals
}
