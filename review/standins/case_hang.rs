//! The entries of a service's only runners lapse while the store is away, and its runners turn
//! requests away and name a time.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use crate::caller;
use crate::check::{Record, Report};
use crate::node::{Node, config, route, wait_ready};
use crate::runner::Runner;
use crate::store::Store;

const DEADLINE_MS: u32 = 4_000;
const DRAIN_MS: u32 = 4_000;

pub fn play(trouble: bool) -> Result<Report, String> {
    let record = Record::new();
    let store = Store::start();
    let routes = [route("/look/", "idempotent", "desk", 4_000, 2)];
    store.put("keyed.op", "config", &config(1, &routes, &["desk"]));
    let runners: Vec<Runner> = (1..=2)
        .map(|number| {
            Runner::start(
                &record,
                &store,
                &format!("desk-{number}"),
                "desk",
                Duration::from_millis(15),
            )
        })
        .collect();
    let nodes =
        vec![Node::start("node-1", &store, DRAIN_MS)?, Node::start("node-2", &store, DRAIN_MS)?];
    wait_ready(&nodes)?;
    record.note("all nodes are ready");
    let stop = Arc::new(AtomicBool::new(false));
    let next = Arc::new(AtomicU64::new(0));
    let mut threads = Vec::new();
    for number in 0..8 {
        let target = &nodes[number % nodes.len()];
        let target = (target.name.clone(), target.callers);
        let (record, stop, next) = (record.clone(), stop.clone(), next.clone());
        threads.push(std::thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                let attempt = format!("a{}", next.fetch_add(1, Ordering::SeqCst));
                let to = (target.0.as_str(), target.1);
                caller::send(&record, to, "GET", "/look/boots", &attempt, DEADLINE_MS);
                std::thread::sleep(Duration::from_millis(50));
            }
        }));
    }
    // The platform asks each node whether it is ready; here ten times a second.
    let silences: Arc<std::sync::Mutex<Vec<(String, f64, f64)>>> = Arc::default();
    for node in &nodes {
        let (name, readiness) = (node.name.clone(), node.readiness);
        let (record, stop, silences) = (record.clone(), stop.clone(), silences.clone());
        threads.push(std::thread::spawn(move || {
            let request = b"GET /api/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
            while !stop.load(Ordering::SeqCst) {
                let begun = record.now();
                let answer = crate::http::exchange(readiness, request, Duration::from_secs(10));
                let ended = record.now();
                if ended - begun > 0.5 {
                    record.note(format!(
                        "{name} answered nothing from {begun:.3} to {ended:.3} (readiness: {})",
                        answer.status
                    ));
                    silences.lock().unwrap().push((name.clone(), begun, ended));
                }
                std::thread::sleep(Duration::from_millis(100));
            }
        }));
    }
    std::thread::sleep(Duration::from_secs(2));
    if trouble {
        record.note("the store is away; the runners' entries lapse meanwhile");
        store.set_down(true);
        std::thread::sleep(Duration::from_millis(4_000));
        for runner in &runners {
            runner.set_writes_entry(false);
            store.put("keyed.servers", &runner.id, "");
        }
        store.set_down(false);
        record.note("the store is back, without the entries");
        std::thread::sleep(Duration::from_millis(600));
        for runner in &runners {
            runner.turn_away(Duration::from_millis(10_000));
        }
        std::thread::sleep(Duration::from_millis(1_300));
        for runner in &runners {
            runner.set_writes_entry(true);
        }
        record.note("the runners write their entries again");
    }
    std::thread::sleep(Duration::from_secs(6));
    stop.store(true, Ordering::SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    let silences = silences.lock().unwrap();
    let mut findings = Vec::new();
    for (name, begun, ended) in silences.iter() {
        findings.push(format!("{name} did not hand back the processor for {:.2} s", ended - begun));
    }
    let broken = silences.iter().any(|(_, begun, ended)| ended - begun >= 1.0);
    Ok(record.report(broken, findings))
}
