//! A request that crashes each runner that begins to run it, and is sent again by its caller.

use crashing_fleet::{CrashPlan, CrashingFleet, KNOWN_AFTER, LATER_REQUESTS};
use fakes::platform::{CrashLook, CrashTrigger, RunnerFake, RunnerScript};
use harness::{CallerRequest, WholeAnswer, wait_until};
use std::time::{Duration, Instant};

mod crashing_fleet;

const LIMIT: Duration = Duration::from_secs(10);
/// Nodes of a fleet.
const NODES: usize = 3;
/// Runners that are up at any time.
const RUNNERS: usize = 3;
/// Crashes after which the request has to be known everywhere, once [`KNOWN_AFTER`] has passed.
const KNOWN_CRASHES: usize = 3;
/// Repeats of the request that are sent from then on, one to each node in turn.
const REPEATS: usize = 4 * NODES;

/// A kind of request, of which one crashes runners.
struct RequestKind {
    service: &'static str,
    crashing_path: &'static str,
    sound_path: &'static str,
    make: fn(&str) -> CallerRequest,
}

const LOOKUP: RequestKind = RequestKind {
    service: "desk",
    crashing_path: "/look/crashing",
    sound_path: "/look/sound",
    make: CallerRequest::lookup,
};
const BOOKING: RequestKind = RequestKind {
    service: "desk",
    crashing_path: "/book/crashing",
    sound_path: "/book/sound",
    make: CallerRequest::booking,
};
const STREAM: RequestKind = RequestKind {
    service: "llm",
    crashing_path: "/digest/crashing",
    sound_path: "/digest/sound",
    make: CallerRequest::stream,
};

/// Nodes before runners that crash on one path, and are replaced when they have crashed.
struct RequestFleet {
    crashing: CrashingFleet,
    kind: RequestKind,
    sent: usize,
}

impl RequestFleet {
    async fn start(kind: RequestKind, look: CrashLook) -> Self {
        let trigger = CrashTrigger::Path(kind.crashing_path.to_owned());
        let plan = CrashPlan { service: kind.service, runners: RUNNERS, trigger, look };
        Self { crashing: CrashingFleet::start(NODES, plan).await, kind, sent: 0 }
    }

    /// Sends a request with `path` under an id of its own, to each node in turn.
    async fn send(&mut self, path: &str) -> WholeAnswer {
        self.sent += 1;
        let mut request = (self.kind.make)(&format!("{:08x}", self.sent));
        path.clone_into(&mut request.path);
        let fleet = &self.crashing.fleet;
        let answer = fleet.send(self.sent % fleet.nodes.len(), &request).await;
        self.crashing.replace_crashed().await;
        answer
    }

    /// Requests of the crashing kind that have reached runners.
    fn visits(&self) -> usize {
        let visits = self.crashing.visits();
        visits.iter().filter(|visit| visit.request.path == self.kind.crashing_path).count()
    }

    /// Sends the crashing request among sound ones until three runners have crashed and the time
    /// has passed in which the nodes have to learn why.
    async fn crash_runners(&mut self) {
        for _ in 0..2 * KNOWN_CRASHES {
            if self.crashing.crashes() >= KNOWN_CRASHES {
                break;
            }
            self.send(self.kind.crashing_path).await;
            assert_eq!(self.send(self.kind.sound_path).await.status, 200);
        }
        compio::time::sleep(KNOWN_AFTER).await;
    }
}

/// Plays a request that crashes runners, and counts its repeats that reach runners afterwards.
fn check_repeats(kind: RequestKind, look: CrashLook) {
    kernel::run(async {
        let mut requests = RequestFleet::start(kind, look).await;
        requests.crash_runners().await;
        let before = requests.visits();
        for _ in 0..REPEATS {
            let sent = Instant::now();
            let answer = requests.send(requests.kind.crashing_path).await;
            if answer.status == 503 {
                assert!(answer.retry_after.is_some());
                assert!(sent.elapsed() < Duration::from_secs(1), "{:?}", sent.elapsed());
            }
            assert_eq!(requests.send(requests.kind.sound_path).await.status, 200);
        }
        let later = requests.visits() - before;
        assert!(later <= LATER_REQUESTS, "{look:?}: {later} repeats after {before}");
    })
    .unwrap();
}

#[test]
fn a_lookup_that_crashes_runners_reaches_no_more_than_three_once_three_have_crashed() {
    check_repeats(LOOKUP, CrashLook::Refuses);
}

#[test]
fn a_booking_that_crashes_runners_reaches_no_more_than_three_once_three_have_crashed() {
    check_repeats(BOOKING, CrashLook::Refuses);
}

#[test]
fn a_stream_that_crashes_runners_reaches_no_more_than_three_once_three_have_crashed() {
    check_repeats(STREAM, CrashLook::Refuses);
}

#[test]
fn a_crashing_request_is_recognised_although_its_runners_reset_connections() {
    check_repeats(LOOKUP, CrashLook::Resets);
}

#[test]
fn a_crashing_request_is_recognised_although_its_runners_close_connections() {
    check_repeats(BOOKING, CrashLook::Closes);
}

#[test]
fn a_crashing_request_is_recognised_although_its_runners_accept_connections() {
    check_repeats(STREAM, CrashLook::Accepts);
}

#[test]
fn a_request_that_crashes_runners_is_known_after_all_nodes_were_killed_at_once() {
    kernel::run(async {
        let mut requests = RequestFleet::start(BOOKING, CrashLook::Refuses).await;
        requests.crash_runners().await;
        wait_until("the request to be stored", LIMIT, async || {
            (!requests.crashing.fleet.store.keys("keyed.parts").is_empty()).then_some(())
        })
        .await
        .unwrap();
        requests.crashing.fleet.nodes.clear();
        for _ in 0..NODES {
            requests.crashing.fleet.add_node().unwrap();
        }
        requests.crashing.fleet.wait_ready().await.unwrap();
        let before = requests.visits();
        for _ in 0..2 * NODES {
            assert_eq!(requests.send(requests.kind.crashing_path).await.status, 503);
            assert_eq!(requests.send(requests.kind.sound_path).await.status, 200);
        }
        assert_eq!(requests.visits(), before);
    })
    .unwrap();
}

/// A runner that is up after it has lost an answer has not crashed.
#[test]
fn a_request_whose_answers_are_lost_by_runners_that_live_is_not_refused() {
    kernel::run(async {
        let mut requests = RequestFleet::start(BOOKING, CrashLook::Refuses).await;
        for _ in 0..2 * KNOWN_CRASHES {
            for runner in &requests.crashing.runners {
                runner.script(&[RunnerScript::Close]);
            }
            assert_eq!(requests.send(requests.kind.sound_path).await.status, 502);
            requests.crashing.runners.iter().for_each(RunnerFake::clear_scripts);
        }
        compio::time::sleep(KNOWN_AFTER).await;
        assert_eq!(requests.send(requests.kind.sound_path).await.status, 200);
    })
    .unwrap();
}
