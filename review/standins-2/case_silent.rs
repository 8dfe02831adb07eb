//! Streams of a runner that falls silent for a second, and goes on with requests whose connection has closed.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::client::read_stream;
use crate::runner::{Pace, Runners};
use crate::world::World;
use crate::{Verdict, Yard};

const EVENTS: u64 = 90;
const STREAMS: u64 = 12;
const SILENCE_MS: u64 = 1_000;
/// Time for which the runner before may still work on a request.
const OVERLAP_MS: u64 = 400;

pub fn run(world: &Arc<World>, trouble: bool) -> Verdict {
    let pace = Pace {
        events: EVENTS,
        first: Duration::from_millis(120),
        step: Duration::from_millis(60),
        preempted_after: None,
        preempted_for: Duration::default(),
        unframed: false,
    };
    let Some(yard) = Yard::start(world, 2, 4, pace) else { return Verdict::CouldNotRun };
    *yard.runners.keeps.lock().unwrap() = Some(0);
    let clients: Vec<_> = (0..STREAMS)
        .map(|number| {
            let node = yard.nodes[number as usize % 2].callers;
            let attempt = format!("9c41d07be2a3{:04x}", 0x5f60 + number);
            world.note(&format!("client sends {attempt} to node {}", number % 2));
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
    thread::sleep(Duration::from_millis(1_200));
    if trouble {
        world.note(&format!("{} falls silent for {SILENCE_MS} ms", Runners::id(0)));
        *yard.runners.silent.lock().unwrap() = Some((0, world.ms() + SILENCE_MS));
        thread::sleep(Duration::from_millis(SILENCE_MS));
        world.note(&format!("{} goes on", Runners::id(0)));
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
    let mut broken = false;
    for next in works.iter().filter(|work| work.resumed) {
        let before = works.iter().filter(|work| {
            work.attempt == next.attempt && work.begun < next.begun && work.runner != next.runner
        });
        for before in before {
            // A silent runner makes nothing: only events that both have made show that both worked.
            let both = before.last_event.min(next.last_event).saturating_sub(next.begun);
            world.note(&format!(
                "{} went on at {}; {} made events beside that for {both} ms",
                next.attempt,
                Runners::id(next.runner),
                Runners::id(before.runner)
            ));
            broken |= both > OVERLAP_MS;
        }
    }
    if broken { Verdict::Broken } else { Verdict::Held }
}
