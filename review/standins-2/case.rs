//! Runs a case: `case NAME RECORD`; `TROUBLE=0` leaves out the disruption.

mod case_copy;
mod case_end;
mod case_leave;
mod case_silent;
mod client;
mod nodes;
mod runner;
mod store;
mod world;

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use nodes::{Node, wait_up};
use runner::{Pace, Runners};
use store::Store;
use world::World;

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun,
}

/// A small deployment: nodes, runners, and the store.
pub struct Yard {
    pub world: Arc<World>,
    pub runners: Arc<Runners>,
    pub nodes: Vec<Node>,
    is_over: Arc<AtomicBool>,
    beats: Option<JoinHandle<()>>,
    folder: PathBuf,
}

impl Yard {
    /// Starts all; `None` if the nodes do not become ready.
    pub fn start(world: &Arc<World>, nodes: usize, runners: usize, pace: Pace) -> Option<Self> {
        let (store, address) = Store::start();
        let runners = Runners::start(world, runners, pace);
        store.put("keyed.op", "config", CONFIG);
        let is_over = Arc::new(AtomicBool::new(false));
        let (over, beating, entries) =
            (Arc::clone(&is_over), Arc::clone(&runners), Arc::clone(&store));
        let beats = thread::spawn(move || {
            for sequence in 1_u64.. {
                for (number, address) in beating.addresses.iter().enumerate() {
                    let state = if beating.leaves(number) { "draining" } else { "ready" };
                    entries.put("keyed.servers", &Runners::id(number), &format!(
                        r#"{{"service":"huvo11a","address":"{address}","zone":"caerdydd","version":"v1","slots":24,"state":"{state}","coldRemainingMs":0,"phase":"mixed","models":[{{"name":"m","version":1,"adapters":[]}}],"sequence":{sequence},"born":1765000000000}}"#
                    ));
                }
                let leaves = *beating.leaves.lock().unwrap();
                for _ in 0..60 {
                    if over.load(Ordering::SeqCst) {
                        return;
                    }
                    thread::sleep(Duration::from_millis(20));
                    // A runner that leaves says so at once.
                    if *beating.leaves.lock().unwrap() != leaves {
                        break;
                    }
                }
            }
        });
        let folder = std::env::temp_dir().join(format!("yard-case-{}", std::process::id()));
        std::fs::create_dir_all(&folder).ok()?;
        let nodes: Vec<Node> =
            (0..nodes).map(|number| Node::start(&folder, number, address)).collect();
        *runners.pids.lock().unwrap() = nodes.iter().map(|node| node.child.id()).collect();
        let world = Arc::clone(world);
        let yard = Self { world, runners, nodes, is_over, beats: Some(beats), folder };
        let is_up = wait_up(&yard.nodes, Duration::from_secs(20));
        // The nodes hear of all runners, and of each other.
        thread::sleep(Duration::from_secs(2));
        is_up.then_some(yard)
    }
}

impl Drop for Yard {
    fn drop(&mut self) {
        self.nodes.iter_mut().for_each(Node::end);
        self.is_over.store(true, Ordering::SeqCst);
        if let Some(beats) = self.beats.take() {
            let _ = beats.join();
        }
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-digest","hostname":"yard.example","pathPrefix":"/digest/","routeType":"streaming","timeoutMs":39000,"targetLatencyMs":1800,"priority":0,"service":"huvo11a","maxAttempts":1,"public":false,"sessionAffinity":true,"streamResume":false,"gapTargetMs":180}],"services":[{"name":"huvo11a","healthPath":"/healthz","maxConnections":222,"protocol":"h1","tls":false,"engine":{"slots":24,"kvCapacity":34261,"kvTokenBytes":35136,"linkMbps":5100.0,"moves":true,"backups":true,"stride":4,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handleTtlS":5.0,"models":[{"name":"m"}]}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"shop","apiKeys":["key-of-shop"],"priority":1}]}"#;

fn main() {
    let words: Vec<String> = std::env::args().collect();
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let world = Arc::new(World::new());
    let verdict = match words.get(1).map(String::as_str) {
        Some("end") => case_end::run(&world, trouble),
        Some("leave") => case_leave::run(&world, trouble),
        Some("silent") => case_silent::run(&world, trouble),
        Some("copy") => case_copy::run(&world, trouble),
        _ => Verdict::CouldNotRun,
    };
    let (word, code) = match verdict {
        Verdict::Held => ("the rule held", 0),
        Verdict::Broken => ("the rule was broken", 1),
        Verdict::CouldNotRun => ("the case could not run", 2),
    };
    world.note(word);
    if let Some(path) = words.get(2) {
        world.write_record(path);
    }
    println!("{word}");
    std::process::exit(code);
}
