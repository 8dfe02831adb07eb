//! Nodes that run only a part of the time, or stand still for a second, before sound runners and nodes.

mod service_fleet;

use std::time::Duration;

use compio::time::sleep;
use fakes::platform::RunnerFakeSettings;
use futures_util::future::{Either, join_all, select};
use harness::{CallerRequest, LinkState, SeenStream, WholeAnswer};
use rustix::process::Signal;
use service_fleet::{CUT, NODES, RUNNERS, ServiceFleet, take_turn};

/// Events of a stream, one in 20 ms.
const EVENTS: u64 = 250;
/// Streams at each node.
const STREAMS: usize = 4;
/// Plain calls at each node, one after the other.
const CALLS: usize = 8;
/// Time until the streams run.
const RUNNING_AFTER: Duration = Duration::from_millis(500);
/// How long a sound runner may be silent, and how long a node stands still.
const SILENCE: Duration = Duration::from_secs(1);
/// Time between the silences of two runners.
const SILENCE_PAUSE: Duration = Duration::from_millis(100);
/// Times for which a node with a quota runs, and stands still.
const QUOTA: [Duration; 2] = [Duration::from_millis(12), Duration::from_millis(88)];
/// Times for which a node runs, and stands still for a second.
const HALTS: [Duration; 2] = [Duration::from_millis(400), SILENCE];

fn long_streams(settings: &mut RunnerFakeSettings) {
    settings.events = EVENTS;
    settings.event_pause = Duration::from_millis(20);
}

/// Has `nodes` run and stand still in turn, without an end.
async fn run_late(services: &ServiceFleet, nodes: &[usize], [runs, stands]: [Duration; 2]) {
    let signal = |signal| {
        for node in nodes {
            services.fleet.nodes[*node].signal(signal).unwrap();
        }
    };
    loop {
        signal(Signal::STOP);
        sleep(stands).await;
        signal(Signal::CONT);
        sleep(runs).await;
    }
}

/// Has each runner in turn be silent for a second, without an end.
async fn fall_silent(services: &ServiceFleet) {
    sleep(RUNNING_AFTER).await;
    for linked in services.runners.iter().cycle() {
        linked.runner.fall_silent();
        sleep(SILENCE).await;
        linked.runner.go_on();
        sleep(SILENCE_PAUSE).await;
    }
}

/// Streams and plain calls through `nodes`: what their callers see.
async fn call(services: &ServiceFleet, nodes: &[usize]) -> (Vec<SeenStream>, Vec<WholeAnswer>) {
    let stream = async |node: usize, number: usize| {
        let request = CallerRequest::stream(&format!("s-{node}-{number}"));
        services.fleet.read_stream(node, &request).await
    };
    let book = async |node: usize| {
        let mut answers = Vec::new();
        for number in 0..CALLS {
            let booking = CallerRequest::booking(&format!("b-{node}-{number}"));
            answers.push(services.fleet.send(node, &booking).await);
        }
        answers
    };
    let streams =
        nodes.iter().flat_map(|node| (0..STREAMS).map(move |number| stream(*node, number)));
    let calls = nodes.iter().map(|node| book(*node));
    let (streams, answers) = futures_util::join!(join_all(streams), join_all(calls));
    (streams, answers.concat())
}

/// The lines of all nodes about limits in time that have ended something.
fn verdicts(services: &ServiceFleet, events: &[&str]) -> Vec<String> {
    let nodes = services.fleet.nodes.iter();
    let lines = nodes.flat_map(|node| events.iter().flat_map(|event| node.events(event)));
    lines.map(|line| line.to_string()).collect()
}

fn check_whole(services: &ServiceFleet, (streams, answers): (Vec<SeenStream>, Vec<WholeAnswer>)) {
    const VERDICTS: [&str; 4] =
        ["runner_unreached", "runners_unreached", "relay_lost", "answer_cut_off"];
    let lines = verdicts(services, &VERDICTS);
    let whole = streams.iter().filter(|stream| stream.has_all(EVENTS)).count();
    assert_eq!(whole, streams.len(), "{streams:?} {lines:#?}");
    let answered = answers.iter().filter(|answer| answer.status == 200 && answer.complete).count();
    assert_eq!(answered, answers.len(), "{answers:?} {lines:#?}");
    assert_eq!(services.most_runs(), 1);
}

/// Plays streams and calls at all nodes while those run late, and runners are silent if `with_silences`.
fn play(late: [Duration; 2], with_silences: bool) {
    let _turn = take_turn();
    kernel::run(async {
        let services = ServiceFleet::start(long_streams).await;
        let nodes: Vec<usize> = (0..NODES).collect();
        let trouble = async {
            let late = run_late(&services, &nodes, late);
            if with_silences {
                futures_util::join!(late, fall_silent(&services));
            } else {
                late.await;
            }
        };
        let calls = Box::pin(call(&services, &nodes));
        let Either::Left((seen, _)) = select(calls, Box::pin(trouble)).await else { return };
        for node in &services.fleet.nodes {
            node.signal(Signal::CONT).unwrap();
        }
        sleep(RUNNING_AFTER).await;
        check_whole(&services, seen);
        if !with_silences {
            let lines =
                verdicts(&services, &["runner_unreached", "runners_unreached", "relay_lost"]);
            assert!(lines.is_empty(), "{lines:#?}");
        }
    })
    .unwrap();
}

/// Guards against LOST: runners count as unreached since the node itself stood still.
#[test]
fn nodes_that_run_a_part_of_the_time_reach_all_runners() {
    play(QUOTA, false);
}

/// Guards against LOST: runners count as unreached since the node itself stood still.
#[test]
fn nodes_that_stand_still_for_a_second_reach_all_runners() {
    play(HALTS, false);
}

/// Guards against LOST: a moment of silence counts as longer at a node that runs late.
#[test]
fn nodes_that_run_a_part_of_the_time_read_whole_answers_of_runners_that_are_silent_for_a_moment() {
    play(QUOTA, true);
}

/// Guards against LOST: a moment of silence counts as longer at a node that runs late.
#[test]
fn nodes_that_stand_still_read_whole_answers_of_runners_that_are_silent_for_a_moment() {
    play(HALTS, true);
}

/// Streams of a cut-off node come through the others, all of which run `late`.
fn play_relayed(late: [Duration; 2]) {
    let _turn = take_turn();
    kernel::run(async {
        let services = ServiceFleet::start(long_streams).await;
        let nodes: Vec<usize> = (0..NODES).collect();
        let trouble = async {
            sleep(RUNNING_AFTER).await;
            services.set("llm", usize::from(RUNNERS), LinkState::Lost);
            sleep(SILENCE).await;
            run_late(&services, &nodes, late).await;
        };
        let calls = Box::pin(call(&services, &[CUT]));
        let Either::Left((seen, _)) = select(calls, Box::pin(trouble)).await else { return };
        for node in &services.fleet.nodes {
            node.signal(Signal::CONT).unwrap();
        }
        sleep(RUNNING_AFTER).await;
        let lines = verdicts(&services, &["relay_lost"]);
        assert!(lines.is_empty(), "{lines:#?}");
        check_whole(&services, seen);
    })
    .unwrap();
}

/// Guards against LOST: the node that a stream comes through counts as lost since this one stood still.
#[test]
fn streams_through_nodes_that_run_a_part_of_the_time_stay_there() {
    play_relayed(QUOTA);
}

/// Guards against LOST: the node that a stream comes through counts as lost since this one stood still.
#[test]
fn streams_through_nodes_that_stand_still_stay_there() {
    play_relayed(HALTS);
}
