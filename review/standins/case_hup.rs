//! Settings files change several times in a row, each time with a SIGHUP. Nothing else happens.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::check::{Record, Report};
use crate::http::Answer;
use crate::node::{Node, config, route, wait_ready};
use crate::runner::Runner;
use crate::store::Store;
use crate::{caller, node};

const WORK: Duration = Duration::from_millis(300);
const DEADLINE_MS: u32 = 4_000;
/// `configApplyMs` of the site: a request counts if it was sent up to this after a SIGHUP.
const CONFIG_APPLY_S: f64 = 2.0;
/// Nodes whose settings change: three of four, below the largest share of a site file (0.76).
const CHANGED: usize = 3;
/// Nodes, rounds of changes at each of them, one each half a second, and changes in a round.
const NODES: u32 = 4;
const ROUNDS: u32 = 120;
const CHANGES: u32 = 2;

pub fn play(trouble: bool) -> Result<Report, String> {
    let record = Record::new();
    let store = Store::start();
    let routes = [route("/book/", "non_idempotent", "desk", 4_000, 1)];
    store.put("keyed.op", "config", &config(1, &routes, &["desk"]));
    let runners: Vec<Runner> = (1..=3)
        .map(|number| Runner::start(&record, &store, &format!("desk-{number}"), "desk", WORK))
        .collect();
    let mut nodes = Vec::new();
    for number in 1..=NODES {
        nodes.push(Node::start(&format!("node-{number}"), &store, 2_000)?);
    }
    wait_ready(&nodes)?;
    record.note("all nodes are ready");
    let stop = Arc::new(AtomicBool::new(false));
    let next = Arc::new(AtomicU64::new(0));
    let sent: Arc<Mutex<Vec<(String, String, f64, f64, Answer)>>> = Arc::default();
    let mut threads = Vec::new();
    for number in 0..16 {
        let target = &nodes[number % nodes.len()];
        let target = (target.name.clone(), target.callers);
        let (record, stop, next, sent) = (record.clone(), stop.clone(), next.clone(), sent.clone());
        threads.push(std::thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                let attempt = format!("a{}", next.fetch_add(1, Ordering::SeqCst));
                let begun = record.now();
                let to = (target.0.as_str(), target.1);
                let answer =
                    caller::send(&record, to, "POST", "/book/boots", &attempt, DEADLINE_MS);
                let is_refused = answer.end.starts_with("not connected");
                sent.lock().unwrap().push((target.0.clone(), attempt, begun, record.now(), answer));
                if is_refused {
                    return;
                }
            }
        }));
    }
    std::thread::sleep(Duration::from_secs(1));
    let mut hups: Vec<(String, f64)> = Vec::new();
    let mut ended: Vec<(String, String)> = Vec::new();
    for _ in 0..ROUNDS {
        for node in nodes.iter_mut().take(CHANGED) {
            if let Some(how) = node.ended() {
                if !ended.iter().any(|(name, _)| *name == node.name) {
                    record.note(format!("{} has ended: {how}", node.name));
                    ended.push((node.name.clone(), how));
                }
                continue;
            }
            if !trouble {
                continue;
            }
            record.note(format!("the settings of {} change {CHANGES} times", node.name));
            for _ in 0..CHANGES {
                node.write_settings()?;
                node::send_signal(node.pid(), "HUP");
                hups.push((node.name.clone(), record.now()));
            }
        }
        if ended.len() == CHANGED {
            break;
        }
        std::thread::sleep(Duration::from_millis(500));
    }
    std::thread::sleep(Duration::from_secs(1));
    stop.store(true, Ordering::SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    // LOST: passed on to a runner, sent up to `configApplyMs` after a SIGHUP of the machine, and cut
    // after it without a complete answer; the deadline was not reached.
    let mut lost = Vec::new();
    let sent = sent.lock().unwrap();
    for (name, attempt, begun, end, answer) in sent.iter() {
        let has_run =
            runners.iter().any(|runner| runner.runs.lock().unwrap().contains_key(attempt));
        let after_hup = hups
            .iter()
            .any(|(hup_name, at)| hup_name == name && *end > *at && *begun < at + CONFIG_APPLY_S);
        let in_time = end - begun < f64::from(DEADLINE_MS) / 1e3 - 0.1;
        if has_run && after_hup && in_time && answer.status == 0 {
            lost.push(attempt.clone());
        }
    }
    let mut findings = vec![
        format!("requests sent: {}, SIGHUPs sent: {}", sent.len(), hups.len()),
        format!(
            "requests that had reached a runner and got no answer (LOST): {} {lost:?}",
            lost.len()
        ),
    ];
    for (name, how) in &ended {
        findings.push(format!("{name} ended by itself: {how}; it was sent no signal but SIGHUP"));
    }
    Ok(record.report(!lost.is_empty(), findings))
}
