//! Streams without length and chunks at a runner that leaves, and is silent when it is ordered to stop them.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::client::read_stream;
use crate::runner::{Pace, Runners};
use crate::world::World;
use crate::{Verdict, Yard};

const EVENTS: u64 = 60;
const STREAMS: u64 = 12;
const SILENCE_MS: u64 = 800;

pub fn run(world: &Arc<World>, trouble: bool) -> Verdict {
    let pace = Pace {
        events: EVENTS,
        first: Duration::from_millis(500),
        step: Duration::from_millis(60),
        preempted_after: None,
        preempted_for: Duration::default(),
        unframed: true,
    };
    let Some(yard) = Yard::start(world, 2, 4, pace) else { return Verdict::CouldNotRun };
    let clients: Vec<_> = (0..STREAMS)
        .map(|number| {
            let node = yard.nodes[number as usize % 2].callers;
            let attempt = format!("9c41d07be2a3{:04x}", 0x5f60 + number);
            world.note(&format!("client sends {attempt} to node {}", number % 2));
            let (name, world) = (attempt.clone(), Arc::clone(world));
            let client = thread::spawn(move || {
                let limit = Duration::from_secs(25);
                let seen = read_stream(node, "/digest/2f", &name, "3000,400", limit);
                world.note(&format!(
                    "client got {name}: status {}, {} events, {}",
                    seen.status,
                    seen.ids.len(),
                    if seen.complete { "complete" } else { "broken off" }
                ));
                seen
            });
            thread::sleep(Duration::from_millis(40));
            (attempt, client)
        })
        .collect();
    thread::sleep(Duration::from_millis(1_500));
    world.note(&format!("{} announces that it leaves", Runners::id(0)));
    *yard.runners.leaves.lock().unwrap() = Some(0);
    if trouble {
        thread::sleep(Duration::from_millis(100));
        world.note(&format!("{} falls silent for {SILENCE_MS} ms", Runners::id(0)));
        *yard.runners.silent.lock().unwrap() = Some((0, world.ms() + SILENCE_MS));
        thread::sleep(Duration::from_millis(SILENCE_MS));
        world.note(&format!("{} goes on", Runners::id(0)));
    }
    let expected: Vec<u64> = (1..=EVENTS).collect();
    let mut broken = false;
    for (attempt, client) in clients {
        let Ok(seen) = client.join() else { return Verdict::CouldNotRun };
        let is_whole = seen.ids == expected;
        if seen.complete && !is_whole || !expected.starts_with(&seen.ids) {
            broken = true;
            let events = seen.ids.len();
            world.note(&format!("ORDER: {attempt} ended as complete with {events} of {EVENTS} events"));
        }
        if !trouble && !(seen.complete && is_whole) {
            return Verdict::CouldNotRun;
        }
    }
    if broken { Verdict::Broken } else { Verdict::Held }
}
