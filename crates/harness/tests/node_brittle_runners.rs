//! Runners that say that they are brittle, and fall over if they turn too many requests away.

use std::time::Duration;

use fakes::platform::{BrittleRoom, RunnerFake, RunnerFakeSettings};
use futures_util::future::join_all;
use harness::{CallerRequest, NodeFleet};

/// Nodes of a fleet, and runners of the service.
const NODES: usize = 3;
const RUNNERS: usize = 4;
/// Time that a call takes at a runner.
const WORK: Duration = Duration::from_millis(100);
/// Capacity of a runner: 20 calls a second; all of them get twice as many.
const ROOM: BrittleRoom = BrittleRoom { calls: 2, turned_away: 5 };
const PAUSE: Duration = Duration::from_micros(6_250);
/// Requests before it is checked which runners have fallen: 5 s of them.
const REQUESTS: usize = 800;
/// Time from the first word that a runner is brittle until falls count.
const KNOWN_AFTER: Duration = Duration::from_secs(3);
/// Falls that are allowed: two, and a tenth of the number of runners.
const MAX_FALLS: usize = 2 + RUNNERS / 10;

#[test]
fn brittle_runners_do_not_fall_over_under_more_load_than_they_can_bear() {
    kernel::run(async {
        let mut fleet = NodeFleet::start().await.unwrap();
        let mut runners = Vec::new();
        for number in 0..RUNNERS {
            let mut settings = RunnerFakeSettings::new(&format!("desk-{number}"));
            settings.work = WORK;
            runners.push(fleet.add_runner("desk", settings).await.unwrap());
        }
        for _ in 0..NODES {
            fleet.add_node().unwrap();
        }
        fleet.wait_ready().await.unwrap();
        // They name a room that nothing exceeds until it has to be known.
        for runner in &runners {
            runner.become_brittle(BrittleRoom { calls: usize::MAX, ..ROOM });
        }
        for number in 0..6 * NODES {
            let request = CallerRequest::booking(&format!("known-{number}"));
            assert_eq!(fleet.send(number % NODES, &request).await.status, 200);
        }
        compio::time::sleep(KNOWN_AFTER).await;
        for runner in &runners {
            runner.become_brittle(ROOM);
        }
        let send = async |number: usize| {
            compio::time::sleep(PAUSE * u32::try_from(number).unwrap()).await;
            let request = CallerRequest::booking(&format!("load-{number}"));
            fleet.send(number % NODES, &request).await.status
        };
        let statuses = join_all((0..REQUESTS).map(send)).await;
        let served = statuses.iter().filter(|status| **status == 200).count();
        let falls = runners.iter().filter(|runner| RunnerFake::has_crashed(runner)).count();
        assert!(falls <= MAX_FALLS, "{falls} of {RUNNERS} fell over, {served} served");
    })
    .unwrap();
}
