//! The last bytes of whole answers on their way to slow callers, around a stop, a reload and a large
//! configuration.

mod slow_caller;

use std::pin::pin;
use std::time::{Duration, Instant};

use compio::time::{sleep, timeout};
use fakes::platform::{RunnerFake, RunnerFakeSettings, RunnerScript};
use futures_util::future::{Either, join, join_all, select};
use harness::{NodeFleet, config, wait_until};
use rustix::process::Signal;
use serde_json::json;
use slow_caller::{AnswerKind, KINDS, SlowCaller};

/// Time by which a caller is late.
const CALLER_LATE: Duration = Duration::from_secs(1);
/// Time from the signal to the kill.
const STOP_TIME: Duration = Duration::from_secs(6);
/// Pause between two events of a stream whose end has a set time.
const EVENT_PAUSE: Duration = Duration::from_millis(100);
/// Time that a node under a quota runs, and stands, in each period.
const RUNS: Duration = Duration::from_millis(12);
const STANDS: Duration = Duration::from_millis(88);
/// A node before one runner of each service.
struct TailFleet {
    fleet: NodeFleet,
    runners: Vec<RunnerFake>,
}

impl TailFleet {
    /// Starts the fleet; a plain call takes `work`, a stream `events` of [`EVENT_PAUSE`] each.
    async fn start(work: Duration, events: u64) -> Self {
        let (mut fleet, runners) = Self::start_runners(work, events).await;
        fleet.add_node().unwrap();
        fleet.wait_ready().await.unwrap();
        Self { fleet, runners }
    }

    async fn start_runners(work: Duration, events: u64) -> (NodeFleet, Vec<RunnerFake>) {
        let mut fleet = NodeFleet::start().await.unwrap();
        let mut runners = Vec::new();
        for service in ["desk", "llm"] {
            let mut settings = RunnerFakeSettings::new(&format!("{service}-1"));
            (settings.work, settings.events) = (work, events);
            settings.event_pause = EVENT_PAUSE;
            runners.push(fleet.add_runner(service, settings).await.unwrap());
        }
        (fleet, runners)
    }

    /// Starts a fleet whose node reaches its store over a link of `rate` bytes a second.
    async fn start_over_link(rate: u64) -> Self {
        const EVENTS: u64 = 5;
        let (mut fleet, runners) = Self::start_runners(3 * EVENT_PAUSE, EVENTS).await;
        let link = fleet.start_link(1, fleet.store.address()).await.unwrap();
        link.set_answer_rate(rate);
        fleet.add_node_with(&[("store", json!(link.address()))], true).unwrap();
        fleet.wait_ready().await.unwrap();
        Self { fleet, runners }
    }

    /// Starts a fleet whose answers are longer than what a caller's buffers hold.
    async fn start_long() -> Self {
        /// Events of a long stream.
        const EVENTS: u64 = 5_000;
        let fleet = Self::start(Duration::ZERO, EVENTS).await;
        fleet.runners[0].script(&[RunnerScript::Long]);
        fleet.runners[1].rush();
        fleet
    }

    fn signal(&self, signal: Signal) {
        self.fleet.nodes[0].signal(signal).unwrap();
    }
}

/// Sends a request whose answer is long, with further ones if `further`; whether it comes whole.
async fn read_long(kind: AnswerKind, closes: bool, further: bool) -> bool {
    let tails = TailFleet::start_long().await;
    let mut caller = SlowCaller::send(&tails.fleet, kind, "a1", closes).await;
    if further {
        caller.send_further().await;
        sleep(CALLER_LATE).await;
    }
    let whole = caller.read_whole().await;
    eprintln!("{kind:?} closes={closes} further={further}: whole={whole}");
    whole
}

/// Guards against answers whose end is lost on the way to a caller that reads slowly.
#[test]
fn a_caller_that_reads_slowly_gets_the_whole_answer() {
    kernel::run(async {
        let cases = KINDS.into_iter().flat_map(|kind| [true, false].map(|closes| (kind, closes)));
        let plays = cases.map(|(kind, closes)| read_long(kind, closes, false));
        assert!(join_all(plays).await.into_iter().all(|whole| whole));
    })
    .unwrap();
}

/// Guards against answers whose end is lost to a reset, since bytes of their caller are unread.
#[test]
fn a_caller_that_has_sent_further_requests_gets_the_whole_answer() {
    kernel::run(async {
        let cases = KINDS.into_iter().flat_map(|kind| [true, false].map(|closes| (kind, closes)));
        let plays = cases.map(|(kind, closes)| read_long(kind, closes, true));
        assert!(join_all(plays).await.into_iter().all(|whole| whole));
    })
    .unwrap();
}

/// How a stopping node is slowed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum NodeSpeed {
    Full,
    Quota,
    /// It stands still for a second, until shortly before it is killed.
    Still,
}

/// A stop around the end of a run.
#[derive(Debug, Clone, Copy)]
struct StopCase {
    kind: AnswerKind,
    /// Time from the begin of the run to its end.
    work: Duration,
    /// Time from the begin of the run to the signal.
    stop: Duration,
    speed: NodeSpeed,
    callers: usize,
}

/// Slows a node from now on; does not end.
async fn slow_down(tails: &TailFleet, speed: NodeSpeed) {
    const STILL_FROM: Duration = Duration::from_millis(4_800);
    const STILL_FOR: Duration = Duration::from_secs(1);
    match speed {
        NodeSpeed::Full => (),
        NodeSpeed::Quota => loop {
            sleep(RUNS).await;
            tails.signal(Signal::STOP);
            sleep(STANDS).await;
            tails.signal(Signal::CONT);
        },
        NodeSpeed::Still => {
            sleep(STILL_FROM).await;
            tails.signal(Signal::STOP);
            sleep(STILL_FOR).await;
            tails.signal(Signal::CONT);
        }
    }
    std::future::pending::<()>().await;
}

/// Stops a slow node whose calls are all at work, and kills it at the end of the stop, as the platform does.
async fn play_stop(tails: &TailFleet, case: StopCase) {
    sleep(case.stop).await;
    let has_begun = async || {
        let runs: usize = tails.runners.iter().map(RunnerFake::runs).sum();
        (runs == case.callers).then_some(())
    };
    wait_until("all calls to be at work", case.work, has_begun).await.unwrap();
    tails.signal(Signal::TERM);
    let _ = timeout(STOP_TIME, slow_down(tails, case.speed)).await;
    tails.signal(Signal::KILL);
}

/// The number of callers, all late by a second, whose answer is cut.
async fn count_cut(case: StopCase) -> usize {
    let events = case.work.as_millis() / EVENT_PAUSE.as_millis();
    let tails = TailFleet::start(case.work, u64::try_from(events).unwrap()).await;
    let callers = (0..case.callers).map(async |number| {
        let attempt = format!("a{number}");
        let mut caller = SlowCaller::send(&tails.fleet, case.kind, &attempt, false).await;
        sleep(case.work + CALLER_LATE).await;
        caller.read_whole().await
    });
    let (answers, ()) = join(join_all(callers), play_stop(&tails, case)).await;
    let cut = answers.into_iter().filter(|whole| !whole).count();
    if cut > 0 {
        let node = &tails.fleet.nodes[0];
        eprintln!("{case:?}: {:?} {:?}", node.events("end"), node.events("stop"));
    }
    cut
}

/// Plays each kind of answer at each speed.
fn play_stops(cases: &[(Duration, Duration)], speeds: &[NodeSpeed], callers: usize) {
    let mut plays = Vec::new();
    for kind in KINDS {
        for (work, stop) in cases.iter().copied() {
            let play = |speed: &NodeSpeed| StopCase { kind, work, stop, speed: *speed, callers };
            plays.extend(speeds.iter().map(play));
        }
    }
    kernel::run(async {
        let cut = join_all(plays.iter().copied().map(count_cut)).await;
        let cut: Vec<_> = plays.iter().zip(cut).filter(|(_, cut)| *cut > 0).collect();
        assert!(cut.is_empty(), "{cut:?}");
    })
    .unwrap();
}

/// Guards against answers that are cut by a stop which comes as their run ends.
#[test]
fn a_stop_around_the_end_of_a_run_cuts_no_answer() {
    const WORK: Duration = Duration::from_secs(1);
    const BEFORE: Duration = Duration::from_millis(940);
    const AFTER: Duration = Duration::from_millis(1_060);
    let cases = [(WORK, BEFORE), (WORK, AFTER)];
    play_stops(&cases, &[NodeSpeed::Full, NodeSpeed::Quota], 2);
}

/// Guards against answers that are cut although their run has ended before the last sixth of the stop.
#[test]
fn a_run_that_ends_before_the_last_sixth_of_a_stop_is_answered_whole() {
    const LATEST: Duration = Duration::from_millis(4_850);
    let stop = Duration::from_millis(200);
    play_stops(&[(LATEST, stop)], &[NodeSpeed::Full, NodeSpeed::Quota], 2);
}

/// Guards against answers that lie at a node which has stood still until after its own limits.
#[test]
fn a_node_that_stands_still_at_the_end_of_its_stop_still_reads_what_has_arrived() {
    const LATEST: Duration = Duration::from_millis(5_050);
    let stop = Duration::from_millis(200);
    play_stops(&[(LATEST, stop)], &[NodeSpeed::Still], 24);
}

/// Signals a reload again and again, and writes configurations that take seconds on the node's link.
async fn reload_under_large_configurations(tails: &TailFleet) {
    const ROUTES: usize = 4_200;
    const RELOADS: u64 = 10;
    for version in 2.. {
        let mut config = config(version);
        let mut route = config["routes"][0].clone();
        for number in 0..ROUTES {
            route["name"] = json!(format!("r-{number}"));
            route["pathPrefix"] = json!(format!("/p{number}/"));
            config["routes"].as_array_mut().unwrap().push(route.clone());
        }
        tails.fleet.store.put_json("keyed.op", "config", &config);
        for _ in 0..RELOADS {
            sleep(2 * EVENT_PAUSE).await;
            tails.signal(Signal::HUP);
        }
    }
}

/// Sends one request after the other for a while; how many answers came whole, and how many were cut.
async fn send_on(tails: &TailFleet, kind: AnswerKind, number: usize) -> (usize, usize) {
    const SEND_FOR: Duration = Duration::from_secs(6);
    let (mut whole, mut cut) = (0, 0);
    let begun = Instant::now();
    while begun.elapsed() < SEND_FOR {
        let attempt = format!("{kind:?}-{number}-{whole}-{cut}");
        let mut caller =
            SlowCaller::send(&tails.fleet, kind, &attempt, number.is_multiple_of(2)).await;
        if caller.read_whole().await {
            whole += 1;
        } else {
            cut += 1;
        }
    }
    (whole, cut)
}

/// The number of answers that are cut at a node whose link carries large configurations.
async fn count_cut_by_changes(speed: NodeSpeed) -> usize {
    /// Bandwidth of a small machine's link (10 Mbit/s), in bytes a second.
    const LINK_RATE: u64 = 1_250_000;
    const CALLERS: usize = 8;
    const LEAST_ANSWERS: usize = 80;
    let tails = TailFleet::start_over_link(LINK_RATE).await;
    let callers = KINDS.into_iter().flat_map(|kind| (0..CALLERS).map(move |number| (kind, number)));
    let sending = join_all(callers.map(|(kind, number)| send_on(&tails, kind, number)));
    let changing = join(reload_under_large_configurations(&tails), slow_down(&tails, speed));
    let Either::Left((ends, _)) = select(pin!(sending), pin!(changing)).await else { return 0 };
    let count = |part: fn(&(usize, usize)) -> usize| ends.iter().map(part).sum::<usize>();
    let (whole, cut) = (count(|(whole, _)| *whole), count(|(_, cut)| *cut));
    let versions = tails.fleet.nodes[0].events("plan_in_force").len();
    eprintln!("{speed:?}: {whole} whole, {cut} cut, {versions} configurations");
    assert!(whole >= LEAST_ANSWERS && versions > 1, "{whole} whole, {versions} configurations");
    cut
}

/// Guards against answers that are cut by a reload or a configuration that arrives as they end.
#[test]
fn reloads_and_large_configurations_cut_no_answer() {
    kernel::run(async {
        let speeds = [NodeSpeed::Full, NodeSpeed::Quota];
        assert_eq!(join_all(speeds.map(count_cut_by_changes)).await, [0, 0]);
    })
    .unwrap();
}
