//! Cost of a record and size of the state, from 10 to 14,000 files.

use std::sync::Arc;
use std::time::Instant;

use base::{LogOffset, PublishId};
use config::{
    CheckpointRecord, ConfigFold, ConfigRecord, ConfigState, FileChange, PlanBuilder, PublishRecord,
};

const SIZES: [usize; 4] = [10, 100, 1_000, 14_000];
/// Files of one record of the first publish.
const FILES_PER_RECORD: usize = 100;
const ROUNDS: usize = 20;
const WORKSPACES_PER_FILE: usize = 8;
const BYTES_PER_PAGE: usize = 4_096;

fn path(number: usize) -> Arc<str> {
    Arc::from(format!("team-{:03}/service-{number}.service.jsonc", number % 100))
}

fn text(number: usize, version: usize) -> Arc<str> {
    let rules = (0..WORKSPACES_PER_FILE).map(|at| {
        let workspace = (number * WORKSPACES_PER_FILE + at) % SIZES[3];
        format!("        {{ \"workspace\": \"workspace-{workspace}\", \"share\": {}, \"priority\": \"normal\" }}", version % 9 + 1)
    });
    Arc::from(format!(
        "// Service {number}.\n{{\n    \"service\": \"service-{number}\",\n    \"kind\": \"plain\",\n    \
         \"workspaces\": [\n{}\n    ],\n    \"calls\": [\n        {{ \"path\": \"/\", \"method\": \"GET\", \
         \"repeatable\": true }}\n    ]\n}}\n",
        rules.collect::<Vec<_>>().join(",\n")
    ))
}

fn change(state: &ConfigState, number: usize, version: usize) -> FileChange {
    let path = path(number);
    FileChange { base: state.version(&path), path, text: Some(text(number, version)) }
}

fn record(files: Vec<FileChange>) -> Arc<str> {
    let publish =
        PublishRecord { id: PublishId(1), author: "shift".into(), note: "".into(), files };
    ConfigRecord::Publish(publish).encode()
}

fn resident_bytes() -> usize {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    statm.split(' ').nth(1).and_then(|pages| pages.parse().ok()).unwrap_or(0) * BYTES_PER_PAGE
}

/// Median time of a round, in microseconds.
fn median_micros(mut round: impl FnMut(usize)) -> f64 {
    let mut times: Vec<f64> = (0..ROUNDS)
        .map(|number| {
            let start = Instant::now();
            round(number);
            start.elapsed().as_secs_f64() * 1e6
        })
        .collect();
    times.sort_by(f64::total_cmp);
    times[ROUNDS / 2]
}

fn main() {
    println!(
        "files  file_B  state_mem_MB  plan_mem_MB  checkpoint_MB  plan_postcard_MB  \
         record_us  record_shared_us  first_plan_us  next_plan_us  delta_us  checkpoint_us  \
         plan_encode_us"
    );
    for size in SIZES {
        measure(size);
    }
}

fn measure(size: usize) {
    let before = resident_bytes();
    let mut fold = ConfigFold::new();
    for start in (0..size).step_by(FILES_PER_RECORD) {
        let numbers = start..size.min(start + FILES_PER_RECORD);
        let files = numbers.map(|number| change(fold.state(), number, 0)).collect();
        fold.apply(fold.next(), &record(files));
    }
    let state_bytes = resident_bytes().saturating_sub(before);
    assert_eq!(fold.state().files.len(), size);

    let before = resident_bytes();
    let mut builder = PlanBuilder::new();
    let start = Instant::now();
    let mut plan = builder.build(fold.state());
    let first_plan = start.elapsed().as_secs_f64() * 1e6;
    let plan_bytes = resident_bytes().saturating_sub(before);
    assert_eq!(plan.services.len(), size);

    let folded = fold.offset();
    let one = |fold: &ConfigFold, round: usize| {
        record(vec![change(fold.state(), round * 7 % size, round + 1)])
    };
    let mut texts: Vec<Arc<str>> = Vec::new();
    let mut ahead = fold.clone();
    for round in 0..ROUNDS {
        let text = one(&ahead, round);
        ahead.apply(ahead.next(), &text);
        texts.push(text);
    }
    let mut shared = fold.clone();
    let mut held = Vec::new();
    let record_shared = median_micros(|round| {
        held.push(Arc::clone(shared.state()));
        shared.apply(shared.next(), &texts[round]);
    });
    held.clear();
    let record_us = median_micros(|round| {
        fold.apply(fold.next(), &texts[round]);
    });
    let next_plan = median_micros(|round| {
        fold.apply(fold.next(), &one(&fold, round));
        plan = builder.build(fold.state());
    });
    let delta_us = median_micros(|_| {
        std::hint::black_box(fold.state().delta(LogOffset(fold.offset().0 - 1)));
    });
    let mut checkpoint = Arc::from("");
    let checkpoint_us = median_micros(|_| {
        let state = (**fold.state()).clone();
        checkpoint = ConfigRecord::Checkpoint(CheckpointRecord { state }).encode();
    });
    let mut encoded = Vec::new();
    let plan_encode = median_micros(|_| {
        encoded = postcard::to_allocvec(&plan).expect("plans can be encoded");
    });
    assert!(fold.offset() > folded);
    let mega = |bytes: usize| bytes as f64 / 1e6;
    println!(
        "{size:5}  {:6}  {:12.2}  {:11.2}  {:13.2}  {:16.2}  {record_us:9.1}  {record_shared:16.1}  \
         {first_plan:13.1}  {next_plan:12.1}  {delta_us:8.1}  {checkpoint_us:13.1}  {plan_encode:14.1}",
        text(size / 2, 1).len(),
        mega(state_bytes),
        mega(plan_bytes),
        mega(checkpoint.len()),
        mega(encoded.len()),
    );
}
