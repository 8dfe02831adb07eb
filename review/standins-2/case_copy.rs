//! Streams that go on from their copies through another node, while their runners work on.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::client::read_stream;
use crate::runner::{Pace, Runners, Work};
use crate::world::{CutMode, World};
use crate::{Verdict, Yard};

const EVENTS: u64 = 90;
const STREAMS: u64 = 8;
/// Streams that are sent just before the partition, and have not begun to answer.
const LATE_STREAMS: u64 = 2;
/// Time for which the runner before may still work on a request.
const OVERLAP_MS: u64 = 400;

pub fn run(world: &Arc<World>, trouble: bool) -> Verdict {
    let pace = Pace {
        events: EVENTS,
        first: Duration::from_millis(150),
        step: Duration::from_millis(60),
        preempted_after: None,
        preempted_for: Duration::default(),
        unframed: false,
    };
    let Some(yard) = Yard::start(world, 2, 4, pace) else { return Verdict::CouldNotRun };
    let (node, pid) = (yard.nodes[0].callers, yard.nodes[0].child.id());
    let clients: Vec<_> = (0..STREAMS + LATE_STREAMS)
        .map(|number| {
            if number == STREAMS {
                thread::sleep(Duration::from_millis(1_200));
            }
            let attempt = format!("9c41d07be2a3{:04x}", 0x5f60 + number);
            world.note(&format!("client sends {attempt} to node 0"));
            let (name, world) = (attempt.clone(), Arc::clone(world));
            let client = thread::spawn(move || {
                let path = "/digest/2f";
                let limit = Duration::from_secs(25);
                let seen = read_stream(node, path, &name, "3000,400", limit);
                world.note(&format!(
                    "client got {name}: status {}, {} events, {}",
                    seen.status,
                    seen.ids.len(),
                    if seen.complete { "complete" } else { "broken off" }
                ));
                seen
            });
            thread::sleep(Duration::from_millis(40));
            client
        })
        .collect();
    if trouble {
        world.note("node 0 is partitioned from all runners: its connections hang");
        *world.cut.lock().unwrap() = Some((pid, CutMode::Hang));
        thread::sleep(Duration::from_secs(5));
        *world.cut.lock().unwrap() = None;
        world.note("the partition ends");
    }
    for client in clients {
        let Ok(seen) = client.join() else { return Verdict::CouldNotRun };
        let is_whole = seen.complete && seen.ids.len() as u64 == EVENTS;
        if !trouble && !is_whole {
            return Verdict::CouldNotRun;
        }
    }
    thread::sleep(Duration::from_millis(500));
    let works = yard.runners.works.lock().unwrap().clone();
    let now = world.ms();
    let mut broken = false;
    for next in works.iter().filter(|work| work.resumed) {
        let before = works.iter().filter(|work| {
            work.attempt == next.attempt && work.begun < next.begun && work.runner != next.runner
        });
        for before in before {
            let end = |work: &Work| if work.ended == 0 { now } else { work.ended };
            let both = end(before).min(end(next)).saturating_sub(next.begun);
            world.note(&format!(
                "{} went on at {}; {} worked on it beside that for {both} ms",
                next.attempt,
                Runners::id(next.runner),
                Runners::id(before.runner)
            ));
            broken |= both > OVERLAP_MS;
        }
    }
    if broken { Verdict::Broken } else { Verdict::Held }
}
