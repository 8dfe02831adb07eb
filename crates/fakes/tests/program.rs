//! The program: its first line, and its end.

mod common;

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};

use common::LIMIT;
use hyper::Method;

fn start(arguments: &[&str]) -> (Child, SocketAddr) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_yard-fakes"))
        .args(arguments)
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut line = String::new();
    BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
    let address = line.trim_end().strip_prefix("listening ").expect(&line).parse().unwrap();
    (child, address)
}

fn send_fault(address: SocketAddr, text: &'static str) -> bool {
    let call = web::fetch("fault", Method::POST, address, "/fault", text.into(), LIMIT);
    kernel::run(call).unwrap().is_ok()
}

#[test]
fn every_stand_in_announces_its_address_and_takes_faults() {
    let cases = [
        (&["log", "--appends-per-second", "5"][..], r#"{"slow_ms": 0}"#),
        (&["vms", "--lag-ms", "5"], r#"{"lag_ms": 0}"#),
        (&["service", "--runner", "s1"], r#"{"refuse": true}"#),
        (&["weights", "--loads-per-second", "5"], r#"{"outage": true}"#),
        (&["engine", "--runner", "e1", "--models", "big,small"], r#"{"leaving": true}"#),
    ];
    for (arguments, fault) in cases {
        let (mut child, address) = start(arguments);
        let taken = send_fault(address, fault);
        child.kill().unwrap();
        child.wait().unwrap();
        assert!(taken, "{arguments:?}");
    }
}

#[test]
fn an_engine_exits_at_once_on_its_fault() {
    let (mut child, address) = start(&["engine", "--runner", "e1"]);
    assert!(!send_fault(address, r#"{"exit": 9}"#), "no answer comes");
    assert_eq!(child.wait().unwrap().code(), Some(9));
}
