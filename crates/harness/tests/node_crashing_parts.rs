//! Prompts with a part that crashes each runner that begins to answer them.

use std::collections::BTreeMap;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crashing_fleet::{CrashPlan, CrashingFleet, KNOWN_AFTER, LATER_REQUESTS};
use fakes::platform::{CrashLook, CrashTrigger, RunnerFake, RunnerScript, StoreFault};
use harness::{CallerRequest, NodeFleet, WholeAnswer, wait_until};
use serde_json::json;

mod crashing_fleet;

const LIMIT: Duration = Duration::from_secs(10);
/// Time within which what a copy of the store lacks has to be written again.
const STORE_LIMIT: Duration = Duration::from_secs(3);
/// Nodes of a fleet.
const NODES: usize = 3;
/// Runners that are up at any time.
const RUNNERS: usize = 5;
/// Crashes after which the part has to be known everywhere, once [`KNOWN_AFTER`] has passed.
const KNOWN_CRASHES: usize = 5;
/// Time for which the address of a crashed runner still accepts connections.
const LINGER: Duration = Duration::from_millis(60);
/// Sound requests before the crashes, and as many after them.
const SOUND_REQUESTS: usize = 24;
/// The part that crashes runners, and parts that do not.
const CRASHING: &str = "dead0001";
const FIRST: &str = "aaaa0001";
const SOUND: &str = "beef0001";

/// A label whose prompt has `part` between its first part and its own one.
fn label(attempt: &str, part: &str) -> CallerRequest {
    let mut request = same_body_label(attempt, part);
    request.body = format!("prompt {attempt}").into_bytes();
    request
}

/// A label with the body that all such labels have.
fn same_body_label(attempt: &str, part: &str) -> CallerRequest {
    CallerRequest::stream(attempt)
        .with("x-dotterelyard-length-hint", "10")
        .with("x-dotterelyard-prefix-hash", &format!("{FIRST}:79,{part}:350,{attempt}:500"))
}

/// Nodes before runners that crash on one part, and are replaced when they have crashed.
struct PartFleet {
    crashing: CrashingFleet,
    make: fn(&str, &str) -> CallerRequest,
    sent: usize,
}

impl PartFleet {
    async fn start(nodes: usize) -> Self {
        Self::start_looking(nodes, CrashLook::default()).await
    }

    async fn start_looking(nodes: usize, look: CrashLook) -> Self {
        let trigger = CrashTrigger::Part(CRASHING.to_owned());
        let plan = CrashPlan { service: "llm", runners: RUNNERS, trigger, look };
        Self { crashing: CrashingFleet::start(nodes, plan).await, make: label, sent: 0 }
    }

    /// Requests with `part` that have reached runners.
    fn visits(&self, part: &str) -> usize {
        self.crashing.visits().iter().filter(|visit| visit.request.has_part(part)).count()
    }

    /// Requests with `part` that ran, and reached no more than one runner.
    fn first_attempts(&self, part: &str) -> usize {
        let visits = self.crashing.visits();
        let mut reached: BTreeMap<&str, (usize, bool)> = BTreeMap::new();
        for visit in visits.iter().filter(|visit| visit.request.has_part(part)) {
            let attempt = visit.request.header("x-dotterelyard-attempt-id");
            let (count, ran) = reached.entry(attempt).or_default();
            *count += 1;
            *ran |= visit.ran;
        }
        reached.values().filter(|reached| **reached == (1, true)).count()
    }

    /// Sends one request with `part`, to each node in turn.
    async fn send(&mut self, part: &str) -> WholeAnswer {
        self.sent += 1;
        let request = (self.make)(&format!("{:08x}", self.sent), part);
        let fleet = &self.crashing.fleet;
        let answer = fleet.send(self.sent % fleet.nodes.len(), &request).await;
        self.crashing.replace_crashed().await;
        answer
    }

    /// Sends requests with the crashing part among sound ones until five runners have crashed
    /// and the time has passed in which the nodes have to learn why.
    async fn crash_runners(&mut self) {
        let mut sent = 0;
        while self.crashing.crashes() < KNOWN_CRASHES && sent < 2 * KNOWN_CRASHES {
            self.send(CRASHING).await;
            assert_eq!(self.send(SOUND).await.status, 200);
            sent += 1;
        }
        compio::time::sleep(KNOWN_AFTER).await;
    }
}

/// Plays a part that crashes runners, and counts the requests with it that reach runners later.
fn check_later_requests(look: CrashLook) {
    kernel::run(async {
        let mut parts = PartFleet::start_looking(NODES, look).await;
        parts.crash_runners().await;
        let before = parts.visits(CRASHING);
        for _ in 0..4 * NODES {
            let sent = Instant::now();
            let answer = parts.send(CRASHING).await;
            assert_eq!(parts.send(SOUND).await.status, 200);
            if answer.status == 503 {
                assert!(answer.retry_after.is_some());
                assert!(sent.elapsed() < Duration::from_secs(1), "{:?}", sent.elapsed());
            }
        }
        let later = parts.visits(CRASHING) - before;
        assert!(later <= LATER_REQUESTS, "{look:?}: {later} requests after {before}");
    })
    .unwrap();
}

#[test]
fn a_part_that_crashes_runners_reaches_no_more_than_three_once_five_have_crashed() {
    check_later_requests(CrashLook::Refuses);
}

#[test]
fn a_crashing_part_is_recognised_although_its_runners_reset_connections() {
    check_later_requests(CrashLook::Resets);
}

#[test]
fn a_crashing_part_is_recognised_although_its_runners_close_connections() {
    check_later_requests(CrashLook::Closes);
}

#[test]
fn a_crashing_part_is_recognised_although_its_runners_accept_connections() {
    check_later_requests(CrashLook::Accepts);
}

/// A process that ends closes its connections one after the other, so that its address may still
/// accept for a moment.
#[test]
fn a_part_is_blocked_although_crashed_runners_accept_connections_for_a_moment() {
    kernel::run(async {
        let mut parts = PartFleet::start(1).await;
        parts.crashing.runners.iter().for_each(|runner| runner.linger(LINGER));
        for _ in 0..3 {
            parts.send(CRASHING).await;
        }
        assert_eq!(parts.crashing.crashes(), 3);
        parts.crashing.fleet.wait_event(0, "part_blocked", "part", &CRASHING.into()).await.unwrap();
    })
    .unwrap();
}

#[test]
fn sound_prompts_that_share_parts_with_crashing_ones_are_answered() {
    kernel::run(async {
        let mut parts = PartFleet::start(NODES).await;
        parts.crash_runners().await;
        for _ in 0..4 * NODES {
            parts.send(CRASHING).await;
            let answer = parts.send(SOUND).await;
            assert_eq!((answer.status, answer.complete), (200, true), "{}", answer.text);
        }
    })
    .unwrap();
}

#[test]
fn sound_prompts_with_the_path_and_body_of_crashing_ones_are_answered() {
    kernel::run(async {
        let mut parts = PartFleet::start(NODES).await;
        parts.make = same_body_label;
        parts.crash_runners().await;
        let before = parts.visits(CRASHING);
        for _ in 0..4 * NODES {
            parts.send(CRASHING).await;
            assert_eq!(parts.send(SOUND).await.status, 200);
        }
        let later = parts.visits(CRASHING) - before;
        assert!(later <= LATER_REQUESTS, "{later} requests after {before}");
    })
    .unwrap();
}

/// The measure of the users' rule: what begins at its first attempt later than twice the time in
/// which the part has to be known, against what did before any crash.
#[test]
fn sound_prompts_begin_at_the_first_attempt_while_crashing_ones_still_come() {
    kernel::run(async {
        let mut parts = PartFleet::start(NODES).await;
        for _ in 0..SOUND_REQUESTS {
            assert_eq!(parts.send(SOUND).await.status, 200);
        }
        let before = parts.first_attempts(SOUND);
        assert_eq!(before, SOUND_REQUESTS);
        parts.crash_runners().await;
        compio::time::sleep(KNOWN_AFTER).await;
        let earlier = parts.first_attempts(SOUND);
        for _ in 0..SOUND_REQUESTS {
            parts.send(CRASHING).await;
            parts.send(SOUND).await;
        }
        let after = parts.first_attempts(SOUND) - earlier;
        assert!(2 * after >= before, "{after} of {SOUND_REQUESTS}, {before} before any crash");
    })
    .unwrap();
}

#[test]
fn a_part_that_crashes_runners_is_known_after_all_nodes_were_killed_at_once() {
    kernel::run(async {
        let mut parts = PartFleet::start(NODES).await;
        parts.crash_runners().await;
        wait_until("the part to be stored", LIMIT, async || {
            parts
                .crashing
                .fleet
                .store
                .keys("keyed.parts")
                .contains(&CRASHING.to_owned())
                .then_some(())
        })
        .await
        .unwrap();
        parts.crashing.fleet.nodes.clear();
        for _ in 0..NODES {
            parts.crashing.fleet.add_node().unwrap();
        }
        parts.crashing.fleet.wait_ready().await.unwrap();
        let before = parts.visits(CRASHING);
        for _ in 0..2 * NODES {
            assert_eq!(parts.send(CRASHING).await.status, 503);
            assert_eq!(parts.send(SOUND).await.status, 200);
        }
        assert_eq!(parts.visits(CRASHING), before);
    })
    .unwrap();
}

#[test]
fn a_part_that_is_blocked_while_the_store_is_away_is_stored_after_its_return() {
    kernel::run(async {
        let mut parts = PartFleet::start(1).await;
        parts.send(CRASHING).await;
        parts.send(CRASHING).await;
        assert_eq!(parts.crashing.crashes(), 2);
        parts.crashing.fleet.store.set_fault(StoreFault::Busy);
        parts.crashing.fleet.send(0, &label("third", CRASHING)).await;
        parts.crashing.fleet.wait_event(0, "part_blocked", "part", &CRASHING.into()).await.unwrap();
        compio::time::sleep(Duration::from_millis(500)).await;
        parts.crashing.fleet.store.set_fault(StoreFault::None);
        wait_until("the part to be stored", LIMIT, async || {
            parts
                .crashing
                .fleet
                .store
                .keys("keyed.parts")
                .contains(&CRASHING.to_owned())
                .then_some(())
        })
        .await
        .unwrap();
    })
    .unwrap();
}

#[test]
fn a_blocked_part_is_stored_again_when_the_store_comes_back_from_a_copy_without_it() {
    kernel::run(async {
        let mut parts = PartFleet::start(NODES).await;
        let copy = parts.crashing.fleet.store.copy();
        parts.crash_runners().await;
        let is_stored =
            |fleet: &NodeFleet| fleet.store.keys("keyed.parts").contains(&CRASHING.to_owned());
        wait_until("the part to be stored", LIMIT, async || {
            is_stored(&parts.crashing.fleet).then_some(())
        })
        .await
        .unwrap();
        for _ in 0..2 {
            parts.crashing.fleet.store.take_away();
            compio::time::sleep(Duration::from_millis(300)).await;
            parts.crashing.fleet.store.come_back(&copy);
            assert!(!is_stored(&parts.crashing.fleet));
            wait_until("the part to be stored again", STORE_LIMIT, async || {
                is_stored(&parts.crashing.fleet).then_some(())
            })
            .await
            .unwrap();
        }
    })
    .unwrap();
}

#[test]
fn an_error_of_a_runner_does_not_make_a_crashing_part_sound() {
    kernel::run(async {
        let mut parts = PartFleet::start(NODES).await;
        parts.send(CRASHING).await;
        assert_eq!(parts.crashing.crashes(), 1);
        for runner in &parts.crashing.runners {
            runner.script(&[RunnerScript::Failure]);
        }
        assert_eq!(parts.send(CRASHING).await.status, 500);
        parts.crashing.runners.iter().for_each(RunnerFake::clear_scripts);
        parts.crash_runners().await;
        let before = parts.visits(CRASHING);
        for _ in 0..2 * NODES {
            parts.send(CRASHING).await;
        }
        let later = parts.visits(CRASHING) - before;
        assert!(later <= LATER_REQUESTS, "{later} requests after {before}");
    })
    .unwrap();
}

#[test]
fn a_node_that_hears_no_other_learns_from_the_store_which_parts_are_blocked() {
    kernel::run(async {
        let mut parts = PartFleet::start(2).await;
        parts.crashing.fleet.nodes.truncate(1);
        assert_eq!(parts.send(SOUND).await.status, 200);
        // As a node writes it that this one does not hear.
        let ends = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() + 600_000;
        let record = json!({ "until_unix_ms": u64::try_from(ends).unwrap() });
        parts.crashing.fleet.store.put_json("keyed.parts", CRASHING, &record);
        compio::time::sleep(KNOWN_AFTER).await;
        assert_eq!(parts.send(CRASHING).await.status, 503);
        assert_eq!((parts.crashing.crashes(), parts.visits(CRASHING)), (0, 0));
    })
    .unwrap();
}

#[test]
fn a_prompt_whose_part_is_known_to_crash_runners_is_refused_with_that_reason() {
    kernel::run(async {
        let mut parts = PartFleet::start(1).await;
        parts.crash_runners().await;
        let before = parts.visits(CRASHING);
        let answer = parts.send(CRASHING).await;
        assert_eq!(answer.status, 503);
        assert!(answer.text.contains("part_crashes_runners"), "{}", answer.text);
        assert_eq!(parts.visits(CRASHING), before);
        wait_until("the part to be named", LIMIT, async || {
            let lines = parts.crashing.fleet.nodes[0].events("part_blocked");
            lines.iter().any(|line| line["part"] == CRASHING).then_some(())
        })
        .await
        .unwrap();
    })
    .unwrap();
}
