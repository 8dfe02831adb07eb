//! Stand-ins and checks of the review's scripts. Standard library only.
//!
//! `case NAME FOLDER` plays one case and writes FOLDER/record.txt; `case runner ...` is a runner
//! of a case as a process of its own. Exit status: 0 the rule held, 1 it was broken, 2 the case
//! could not run.

mod caller;
mod check;
mod engine;
mod http;
mod node;
mod runner;
mod store;

mod case_hang;
mod case_hup;
mod case_path;
mod case_retire;
mod case_silence;
mod case_stop;
mod case_twice;
mod case_unframed;

use std::path::PathBuf;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let name = arguments.get(1).map(String::as_str).unwrap_or("");
    if name == "runner" {
        runner::run_process(&arguments[2..]);
        return;
    }
    let Some(folder) = arguments.get(2).map(PathBuf::from) else {
        eprintln!("usage: case NAME FOLDER");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    // A case that takes too long could not run; its processes end with this one.
    std::thread::spawn(|| {
        std::thread::sleep(std::time::Duration::from_secs(110));
        eprintln!("it took too long");
        std::process::exit(2);
    });
    let verdict = match name {
        "hup" => case_hup::play(trouble),
        "stop" => case_stop::play(trouble),
        "path" => case_path::play(trouble),
        "retire" => case_retire::play(trouble),
        "twice" => case_twice::play(trouble),
        "silence" => case_silence::play(trouble),
        "hang" => case_hang::play(trouble),
        "unframed" => case_unframed::play(trouble),
        _ => Err(format!("no case {name}")),
    };
    let (status, text) = match verdict {
        Ok(report) => (i32::from(report.broken), report.text()),
        Err(reason) => (2, format!("could not run: {reason}\n")),
    };
    let _ = std::fs::write(folder.join("record.txt"), &text);
    let tail: Vec<&str> = text.lines().rev().take(12).collect();
    for line in tail.iter().rev() {
        println!("{line}");
    }
    std::process::exit(status);
}
