//! A runner answers a stream with neither a length nor chunks, and crashes in the middle of it.

use std::io::Read;
use std::process::{Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use crate::check::{Record, Report};
use crate::http::{exchange, free_port};
use crate::node::{Node, config, end_with_parent, route, send_signal, wait_ready};
use crate::store::Store;
use crate::{caller, runner};

const EVENTS: u64 = 60;
const PAUSE_MS: u64 = 40;
const STREAMS: u64 = 6;

pub fn play(trouble: bool) -> Result<Report, String> {
    let record = Record::new();
    let store = Store::start();
    let routes = [route("/digest/", "streaming", "llm", 8_000, 1)];
    store.put("keyed.op", "config", &config(1, &routes, &["llm"]));
    let port = free_port();
    let mut command = Command::new(std::env::current_exe().map_err(|error| error.to_string())?);
    command.args([
        "runner",
        &port.to_string(),
        "llm-1",
        &EVENTS.to_string(),
        &PAUSE_MS.to_string(),
    ]);
    command.stdout(Stdio::piped());
    end_with_parent(&mut command);
    let mut child = command.spawn().map_err(|error| error.to_string())?;
    runner::beat(
        &store,
        "llm-1",
        "llm",
        ([127, 0, 0, 1], port).into(),
        Arc::new(AtomicBool::new(true)),
    );
    let nodes = vec![Node::start("node-1", &store, 2_000)?, Node::start("node-2", &store, 2_000)?];
    if let Err(reason) = wait_ready(&nodes) {
        let _ = child.kill();
        let _ = child.wait();
        return Err(reason);
    }
    record.note("all nodes are ready");
    let mut threads = Vec::new();
    for number in 0..STREAMS {
        let target = &nodes[number as usize % nodes.len()];
        let (name, address, record) = (target.name.clone(), target.callers, record.clone());
        threads.push(std::thread::spawn(move || {
            let attempt = format!("s{number}");
            let more = "X-Dotterelyard-Model: m\r\nX-Dotterelyard-Token-Count: 200,240\r\n";
            let request = caller::text("POST", "/digest/x", &attempt, 8_000, more);
            record.note(format!("sent {attempt} to {name}"));
            let answer = exchange(address, request.as_bytes(), Duration::from_secs(8));
            let text = String::from_utf8_lossy(&answer.body).into_owned();
            let events = text.matches("\n\n").count();
            record.note(format!(
                "answered {attempt}: status {} complete {} ({}), {events} events",
                answer.status, answer.complete, answer.end
            ));
            (attempt, answer, events)
        }));
        std::thread::sleep(Duration::from_millis(17));
    }
    std::thread::sleep(Duration::from_millis(1_000));
    if trouble {
        record.note("llm-1 crashes (SIGKILL)");
        send_signal(child.id(), "KILL");
    }
    let answers: Vec<_> = threads.into_iter().filter_map(|thread| thread.join().ok()).collect();
    let _ = child.kill();
    let _ = child.wait();
    let mut made = String::new();
    if let Some(mut output) = child.stdout.take() {
        let _ = output.read_to_string(&mut made);
    }
    let mut short = Vec::new();
    for (attempt, answer, events) in &answers {
        let has_ended = made.lines().any(|line| line == format!("ends {attempt}"));
        if answer.status == 200 && answer.complete && !has_ended {
            short.push(format!("{attempt}: ended as complete after {events} of {EVENTS} events"));
        }
    }
    let mut findings = vec![format!(
        "streams: {}; ended as complete before their last piece (ORDER): {}",
        answers.len(),
        short.len()
    )];
    findings.extend(short.iter().cloned());
    Ok(record.report(!short.is_empty(), findings))
}
