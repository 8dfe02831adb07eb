//! A node is told to stop. While its streams end, their runner falls silent for a second or so.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::caller;
use crate::check::{Record, Report};
use crate::engine::{Engine, Memory};
use crate::http::exchange;
use crate::node::{Node, config, route, wait_ready};
use crate::store::Store;

/// Events of a stream; with their pauses of 28 ms it takes 3.4 s.
const EVENTS: u64 = 120;
const STREAMS: u32 = 4;
const DEADLINE_MS: u32 = 39_000;
const SILENCE: Duration = Duration::from_millis(1_100);
/// `graceS` of the site.
const GRACE_S: f64 = 8.0;

pub fn play(trouble: bool) -> Result<Report, String> {
    let record = Record::new();
    let store = Store::start();
    let routes = [route("/digest/", "streaming", "llm", DEADLINE_MS, 1)];
    store.put("keyed.op", "config", &config(1, &routes, &["llm"]));
    let memory: Arc<Mutex<Memory>> = Arc::default();
    let engine = Engine::start(&record, &store, "llm-1", EVENTS, false, &memory);
    let mut nodes =
        vec![Node::start("node-1", &store, 2_000)?, Node::start("node-2", &store, 2_000)?];
    wait_ready(&nodes)?;
    record.note("all nodes are ready");
    std::thread::sleep(Duration::from_secs(1));
    let mut threads = Vec::new();
    for number in 0..STREAMS {
        let (name, address, record) = (nodes[0].name.clone(), nodes[0].callers, record.clone());
        threads.push(std::thread::spawn(move || {
            let attempt = format!("s{number}");
            let more = format!(
                "X-Dotterelyard-Model: m\r\nX-Dotterelyard-Token-Count: 200,480\r\n\
                 X-Dotterelyard-Prefix-Hash: {:x}:200\r\n",
                4096 + number
            );
            let request = caller::text("POST", "/digest/x", &attempt, DEADLINE_MS, &more);
            record.note(format!("sent {attempt} to {name}"));
            let answer = exchange(address, request.as_bytes(), Duration::from_secs(39));
            let events = String::from_utf8_lossy(&answer.body).matches("\n\n").count();
            record.note(format!(
                "answered {attempt}: status {} complete {} ({}), {events} events",
                answer.status, answer.complete, answer.end
            ));
            (attempt, answer, events, record.now())
        }));
    }
    std::thread::sleep(Duration::from_millis(700));
    let term_at = record.now();
    if trouble {
        record.note("node-1 gets SIGTERM");
        nodes[0].signal("TERM");
    }
    std::thread::sleep(Duration::from_millis(500));
    if trouble {
        engine.fall_silent(SILENCE);
    }
    let mut lost = Vec::new();
    for thread in threads {
        let Ok((attempt, answer, events, ended)) = thread.join() else { continue };
        if !answer.complete && ended < term_at + GRACE_S {
            lost.push(format!(
                "{attempt}: cut {:.2} s after the SIGTERM, after {events} of {EVENTS} events",
                ended - term_at
            ));
        }
    }
    let how = nodes[0].ended();
    record.note(format!("node-1: {how:?}"));
    let mut findings =
        vec![format!("streams: {STREAMS}; cut by the stopping node (LOST): {}", lost.len())];
    findings.extend(lost.iter().cloned());
    Ok(record.report(!lost.is_empty(), findings))
}
