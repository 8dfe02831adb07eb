//! A stream without length and chunks, whose run another node moves while its own node still reads it.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::client::read_stream;
use crate::runner::{Pace, Runners};
use crate::world::{CutMode, World};
use crate::{Verdict, Yard};

const EVENTS: u64 = 14;
const STREAMS: u64 = 4;

pub fn run(world: &Arc<World>, trouble: bool) -> Verdict {
    let pace = Pace {
        events: EVENTS,
        first: Duration::from_millis(120),
        step: Duration::from_millis(60),
        preempted_after: Some(6),
        preempted_for: Duration::from_millis(1_500),
        unframed: true,
    };
    let Some(yard) = Yard::start(world, 2, 3, pace) else { return Verdict::CouldNotRun };
    let (node, pid) = (yard.nodes[0].callers, yard.nodes[0].child.id());
    let clients: Vec<_> = (0..STREAMS)
        .map(|number| {
            let attempt = format!("9c41d07be2a3{:04x}", 0x5f60 + number);
            world.note(&format!("client sends {attempt} to node 0"));
            let (name, world) = (attempt.clone(), Arc::clone(world));
            let client = thread::spawn(move || {
                let path = "/digest/2f";
                let limit = Duration::from_secs(20);
                let seen = read_stream(node, path, &name, "1460,56", limit);
                world.note(&format!(
                    "client got {name}: status {}, events {:?}, {}",
                    seen.status,
                    seen.ids,
                    if seen.complete { "complete" } else { "broken off" }
                ));
                seen
            });
            thread::sleep(Duration::from_millis(40));
            (attempt, client)
        })
        .collect();
    thread::sleep(Duration::from_millis(150));
    if trouble {
        world.note("node 0 is partitioned from all runners: its connections live on, new ones are refused");
        *world.cut.lock().unwrap() = Some((pid, CutMode::Refuse));
        thread::sleep(Duration::from_secs(4));
        *world.cut.lock().unwrap() = None;
        world.note("the partition ends");
    }
    let mut broken = false;
    for (attempt, client) in clients {
        let Ok(seen) = client.join() else { return Verdict::CouldNotRun };
        let expected: Vec<u64> = (1..=EVENTS).collect();
        let is_whole = seen.ids == expected;
        if seen.complete && !is_whole || !expected.starts_with(&seen.ids) {
            broken = true;
            world.note(&format!("ORDER: {attempt} ended as complete with {:?}", seen.ids));
        }
        if !trouble && !(seen.complete && is_whole) {
            return Verdict::CouldNotRun;
        }
    }
    let _ = Runners::id(0);
    if broken { Verdict::Broken } else { Verdict::Held }
}
