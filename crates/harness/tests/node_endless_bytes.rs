//! Runners that send bytes which are no answer and do not end until the caller closes.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use base::TimeSpan;
use fakes::platform::{EndlessBytes, RunnerFakeSettings, StoreFault};
use futures_util::future::join_all;
use harness::{CallerRequest, NodeFleet, WholeAnswer};
use serde_json::json;

/// Calls of each kind that come at once.
const CALLS: usize = 12;
/// Memory that a node may have on the smallest machines (`limits.memoryMb`), in MiB.
const MEMORY_MB: u64 = 88;
/// The same in bytes.
const MEMORY_BYTES: u64 = MEMORY_MB << 20;
/// Time in which a call has to end that a runner answers with bytes without end: well before its
/// deadline of 8 s.
const END_LIMIT: Duration = Duration::from_secs(4);
/// Time for a report, longer than [`END_LIMIT`].
const REPORT_LIMIT: TimeSpan = TimeSpan::seconds(8);

/// Runners of one service that answer a crowd without end.
const CROWD_RUNNERS: usize = 6;
/// Calls of a sound service that come beside a crowd, one after the other.
const SOUND_CALLS: usize = 20;
/// Descriptors of a node that has connections for the largest crowd.
const MANY_DESCRIPTORS: usize = 4_100;
/// Deadline of a call, with time for its answer to arrive.
const CALL_LIMIT: Duration = Duration::from_secs(9);

/// Sends calls together, and gives their answers with the time that each took.
async fn send_all(
    fleet: &NodeFleet,
    calls: usize,
    make: impl Fn(&str) -> CallerRequest,
) -> Vec<(WholeAnswer, Duration)> {
    let sends = (0..calls).map(|number| {
        let request = make(&format!("c{number}"));
        async move {
            let sent = Instant::now();
            let answer = fleet.send(0, &request).await;
            (answer, sent.elapsed())
        }
    });
    join_all(sends).await
}

/// How a call ended.
struct CallEnd {
    answer: WholeAnswer,
    took: Duration,
    /// The runner that answers without end has got it.
    reached_bad: bool,
}

/// Plays calls to a runner that answers without end, with a sound runner beside it if `beside`.
async fn play(
    service: &str,
    endless: EndlessBytes,
    beside: bool,
    make: impl Fn(&str) -> CallerRequest,
) -> Vec<CallEnd> {
    let mut fleet = NodeFleet::start().await.unwrap();
    let bad = fleet.add_runner(service, RunnerFakeSettings::new("bad")).await.unwrap();
    let mut sound = None;
    if beside {
        sound = Some(fleet.add_runner(service, RunnerFakeSettings::new("sound")).await.unwrap());
    }
    fleet.add_node().unwrap();
    fleet.wait_ready().await.unwrap();
    bad.answer_without_end(endless);
    let answers = send_all(&fleet, CALLS, make).await;
    let peak = fleet.nodes[0].peak_memory().unwrap();
    assert!(peak <= MEMORY_BYTES, "{endless:?}: {} MiB", peak >> 20);
    assert!(bad.runs() > 0, "{endless:?}: no call reached the runner");
    drop(sound);
    let visits = bad.visits();
    let reached = |number: usize| {
        let attempt = format!("c{number}");
        visits.iter().any(|visit| visit.request.header("x-dotterelyard-attempt-id") == attempt)
    };
    let answers = answers.into_iter().enumerate();
    answers
        .map(|(number, (answer, took))| CallEnd { answer, took, reached_bad: reached(number) })
        .collect()
}

fn assert_ended(endless: EndlessBytes, ends: &[CallEnd]) {
    for CallEnd { answer, took, reached_bad } in ends {
        assert!(*took < END_LIMIT, "{endless:?}: {took:?}, status {}", answer.status);
        let is_whole = answer.status == 200 && answer.complete;
        assert!(!is_whole, "{endless:?}: {} bytes look whole", answer.text.len());
        // A call that waited for room in vain has reached no runner.
        assert!(answer.status != 503 || !reached_bad, "{endless:?}: it may have run");
    }
}

#[test]
fn bookings_answered_without_end_are_given_up_within_the_memory_of_a_node() {
    kernel::run(async {
        for endless in EndlessBytes::ALL {
            let answers = play("desk", endless, false, CallerRequest::booking).await;
            assert_ended(endless, &answers);
        }
    })
    .unwrap();
}

#[test]
fn streams_answered_without_end_are_given_up_within_the_memory_of_a_node() {
    kernel::run(async {
        for endless in EndlessBytes::ALL {
            let answers = play("llm", endless, false, CallerRequest::stream).await;
            assert_ended(endless, &answers);
        }
    })
    .unwrap();
}

#[test]
fn look_ups_answered_without_end_go_on_at_another_runner() {
    kernel::run(async {
        for endless in EndlessBytes::ALL {
            let ends = play("desk", endless, true, CallerRequest::lookup).await;
            let served = ends.iter().filter(|end| end.answer.status == 200).count();
            assert!(served >= CALLS / 2, "{endless:?}: {served} of {CALLS}");
            let statuses: Vec<u16> = ends.iter().map(|end| end.answer.status).collect();
            assert!(ends.iter().all(|end| end.took < END_LIMIT), "{endless:?}: {statuses:?}");
        }
    })
    .unwrap();
}

#[test]
fn a_report_without_end_is_given_up_by_its_size() {
    kernel::run(async {
        let mut fleet = NodeFleet::start().await.unwrap();
        let runner = fleet.prepare_runner(RunnerFakeSettings::new("llm-1")).await.unwrap();
        for endless in [EndlessBytes::Body, EndlessBytes::ChunkedBody] {
            runner.answer_without_end(endless);
            let begun = Instant::now();
            let reply = platform::read_report(runner.address(), REPORT_LIMIT).await;
            let error = reply.result.unwrap_err().to_string();
            assert!(error.contains("longer than"), "{endless:?}: {error}");
            assert!(begun.elapsed() < END_LIMIT, "{endless:?}: {:?}", begun.elapsed());
        }
    })
    .unwrap();
}

#[test]
fn bookings_at_a_sound_runner_are_served_beside_answers_without_end() {
    kernel::run(async {
        let mut fleet = NodeFleet::start().await.unwrap();
        let bad = fleet.add_runner("desk", RunnerFakeSettings::new("bad")).await.unwrap();
        let sound = fleet.add_runner("desk", RunnerFakeSettings::new("sound")).await.unwrap();
        fleet.add_node().unwrap();
        fleet.wait_ready().await.unwrap();
        bad.answer_without_end(EndlessBytes::Body);
        let answers = send_all(&fleet, CALLS, CallerRequest::booking).await;
        let served = answers.iter().filter(|(answer, _)| answer.status == 200).count();
        assert!(sound.runs() > 0 && bad.runs() > 0);
        assert_eq!(served, sound.runs());
    })
    .unwrap();
}

#[test]
fn a_report_without_end_does_not_take_the_memory_of_a_node() {
    kernel::run(async {
        for endless in EndlessBytes::ALL {
            let mut fleet = NodeFleet::start().await.unwrap();
            let mut settings = RunnerFakeSettings::new("llm-1");
            settings.events = 400;
            let runner = fleet.add_runner("llm", settings).await.unwrap();
            fleet.add_node().unwrap();
            fleet.wait_ready().await.unwrap();
            // A stream runs when the list of runners grows old, so that its runner is polled.
            let request = CallerRequest::stream("s1");
            let (answer, ()) = futures_util::join!(fleet.send(0, &request), async {
                compio::time::sleep(Duration::from_millis(300)).await;
                runner.answer_without_end(endless);
                fleet.store.set_fault(StoreFault::Silent);
            });
            assert_eq!((answer.status, answer.complete), (200, true), "{endless:?}");
            let polled = runner.visits().iter().any(|visit| visit.request.path == "/api/report");
            assert!(polled, "{endless:?}");
            let peak = fleet.nodes[0].peak_memory().unwrap();
            assert!(peak <= MEMORY_BYTES, "{endless:?}: {} MiB", peak >> 20);
        }
    })
    .unwrap();
}

/// Crowds are played one at a time: each measures one node, and how soon it answers.
static TURN: Mutex<()> = Mutex::new(());

fn take_turn() -> MutexGuard<'static, ()> {
    TURN.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Plays `calls` plain calls at once to runners that all answer without end, beside streams of a
/// sound runner. Returns what was wrong.
async fn play_crowd(
    endless: EndlessBytes,
    calls: usize,
    make: impl Fn(&str) -> CallerRequest,
) -> Option<String> {
    play_crowd_at("desk", endless, calls, make, ("llm", CallerRequest::stream)).await
}

/// Plays `calls` streams at once to runners that all answer without end, beside look-ups of a sound
/// runner. Returns what was wrong.
async fn play_stream_crowd(endless: EndlessBytes, calls: usize) -> Option<String> {
    let sound = ("desk", CallerRequest::lookup as fn(&str) -> CallerRequest);
    play_crowd_at("llm", endless, calls, CallerRequest::stream, sound).await
}

/// Plays `calls` calls of `service` at once, whose runners all answer without end, beside calls of
/// another service, whose runner is sound. Returns what was wrong.
async fn play_crowd_at(
    service: &str,
    endless: EndlessBytes,
    calls: usize,
    make: impl Fn(&str) -> CallerRequest,
    (sound_service, make_sound): (&str, impl Fn(&str) -> CallerRequest),
) -> Option<String> {
    let mut fleet = NodeFleet::start().await.unwrap();
    let mut runners = Vec::new();
    for number in 0..CROWD_RUNNERS {
        let settings = RunnerFakeSettings::new(&format!("bad-{number}"));
        runners.push(fleet.add_runner(service, settings).await.unwrap());
    }
    let sound_settings = RunnerFakeSettings::new("sound");
    let _sound = fleet.add_runner(sound_service, sound_settings).await.unwrap();
    let sets = [("memory_mb", json!(MEMORY_MB)), ("descriptors", json!(MANY_DESCRIPTORS))];
    fleet.add_node_with(&sets, true).unwrap();
    fleet.wait_ready().await.unwrap();
    for runner in &runners {
        runner.answer_without_end(endless);
    }
    let sound_sends = send_sound(&fleet, make_sound);
    let (ends, sound) = futures_util::join!(send_all(&fleet, calls, make), sound_sends);
    let peak = fleet.nodes[0].peak_memory().unwrap();
    let longest = ends.iter().map(|(_, took)| *took).max().unwrap();
    let count = |status| ends.iter().filter(|(answer, _)| answer.status == status).count();
    let (none, refused, unknown) = (count(0), count(503), count(502) + count(504));
    // Of a stream, a caller may have got the head.
    let is_cut =
        |answer: &WholeAnswer| service == "llm" && answer.status == 200 && !answer.complete;
    let cut = ends.iter().filter(|(answer, _)| is_cut(answer)).count();
    let figures = format!(
        "{endless:?}, {calls} calls: {} KiB at most, {none} without an answer, {refused} refused, \
         {unknown} unknown, {cut} cut, the last after {longest:?}; {sound} of {SOUND_CALLS} sound \
         ones served",
        peak >> 10,
    );
    println!("{figures}");
    let is_sound = peak <= MEMORY_BYTES && longest < CALL_LIMIT && none == 0;
    let is_told = refused + unknown + cut == calls;
    (!is_sound || !is_told || sound < SOUND_CALLS).then_some(figures)
}

/// Sends calls of the sound service one after the other, and counts those that are served.
async fn send_sound(fleet: &NodeFleet, make: impl Fn(&str) -> CallerRequest) -> usize {
    let mut served = 0;
    for number in 0..SOUND_CALLS {
        let answer = fleet.send(0, &make(&format!("s{number}"))).await;
        served += usize::from(answer.status == 200 && answer.complete);
    }
    served
}

#[test]
fn a_crowd_answered_without_end_does_not_take_the_memory_of_a_node() {
    let _turn = take_turn();
    kernel::run(async {
        let mut faults = Vec::new();
        for endless in [EndlessBytes::Header, EndlessBytes::Body] {
            faults.extend(play_crowd(endless, 300, CallerRequest::booking).await);
            faults.extend(play_crowd(endless, 300, CallerRequest::lookup).await);
        }
        assert!(faults.is_empty(), "{faults:#?}");
    })
    .unwrap();
}

#[test]
fn a_crowd_of_streams_answered_without_end_does_not_take_the_memory_of_a_node() {
    let _turn = take_turn();
    kernel::run(async {
        let mut faults = Vec::new();
        for endless in [EndlessBytes::Header, EndlessBytes::Interim, EndlessBytes::Comments] {
            faults.extend(play_stream_crowd(endless, 300).await);
        }
        assert!(faults.is_empty(), "{faults:#?}");
    })
    .unwrap();
}

#[test]
fn a_large_crowd_with_heads_without_end_does_not_take_the_memory_of_a_node() {
    let _turn = take_turn();
    kernel::run(async {
        let fault = play_crowd(EndlessBytes::Header, 900, CallerRequest::lookup).await;
        assert_eq!(fault, None);
    })
    .unwrap();
}

#[test]
fn a_large_crowd_with_bodies_without_end_does_not_take_the_memory_of_a_node() {
    let _turn = take_turn();
    kernel::run(async {
        let fault = play_crowd(EndlessBytes::Body, 900, CallerRequest::lookup).await;
        assert_eq!(fault, None);
    })
    .unwrap();
}

/// Guards against the processor time of a node going to heads that are no answer: calls were answered
/// seconds after their deadline.
#[test]
fn a_large_crowd_with_interim_answers_without_end_is_answered_in_time() {
    let _turn = take_turn();
    kernel::run(async {
        let fault = play_crowd(EndlessBytes::Interim, 900, CallerRequest::booking).await;
        assert_eq!(fault, None);
    })
    .unwrap();
}

/// The same for the size of a chunk that does not end: the library reads it byte by byte.
#[test]
fn a_large_crowd_with_zeros_before_a_chunk_is_answered_in_time() {
    let _turn = take_turn();
    kernel::run(async {
        let fault = play_crowd(EndlessBytes::ChunkZeros, 900, CallerRequest::booking).await;
        assert_eq!(fault, None);
    })
    .unwrap();
}

#[test]
fn bytes_after_a_whole_answer_harm_nothing() {
    kernel::run(async {
        let ends = play("desk", EndlessBytes::AfterAnswer, false, CallerRequest::booking).await;
        for CallEnd { answer, took, .. } in &ends {
            assert_eq!((answer.status, answer.complete), (200, true));
            assert!(*took < END_LIMIT, "{took:?}");
        }
    })
    .unwrap();
}

#[test]
fn an_answer_that_comes_byte_by_byte_ends_with_its_deadline() {
    kernel::run(async {
        let ends = play("desk", EndlessBytes::Trickle, false, CallerRequest::booking).await;
        for CallEnd { answer, took, .. } in &ends {
            assert!(matches!(answer.status, 502 | 504), "{}", answer.status);
            assert!(*took < CALL_LIMIT, "{took:?}");
        }
    })
    .unwrap();
}

/// Guards against connections beyond those of a node that are closed without an answer.
#[test]
fn calls_beyond_the_connections_of_a_node_are_told_when_to_come_back() {
    /// More than a node with 1,000 descriptors has connections for.
    const MANY_CALLS: usize = 900;
    kernel::run(async {
        let mut fleet = NodeFleet::start().await.unwrap();
        let mut settings = RunnerFakeSettings::new("sound");
        settings.work = Duration::from_millis(500);
        let _runner = fleet.add_runner("desk", settings).await.unwrap();
        fleet.add_node().unwrap();
        fleet.wait_ready().await.unwrap();
        let ends = send_all(&fleet, MANY_CALLS, CallerRequest::lookup).await;
        let count = |status| ends.iter().filter(|(answer, _)| answer.status == status).count();
        let (served, refused) = (count(200), count(503));
        assert!(served > 0 && refused > 0, "{served} served, {refused} refused");
        assert_eq!(served + refused, MANY_CALLS, "{} without an answer", count(0));
        let told = |answer: &WholeAnswer| answer.status == 200 || answer.retry_after.is_some();
        assert!(ends.iter().all(|(answer, _)| told(answer)));
    })
    .unwrap();
}
