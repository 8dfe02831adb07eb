//! Cost of one scheduling decision with 10 to 7,000 runners. Each iteration handles one
//! runner report, and the arrival and end of one call.

use std::hint::black_box;

use base::prelude::*;
use config::{CallPriority, PolicyWeights, ServiceKind};
use criterion::{BatchSize, BenchmarkId, Criterion, criterion_group, criterion_main};
use route::{
    CallEnd, CallId, PolicyName, RouteCall, RouteEvent, RouteMember, RouteScheduler, RouteSettings,
};

const RUNNER_COUNTS: [usize; 4] = [10, 100, 1_000, 7_000];
const PLACES: usize = 16;
const ARRIVAL_GAP: TimeSpan = TimeSpan::millis(1);
const CALLS_PER_RUNNER: u64 = 4;

fn service() -> ServiceName {
    "summary".parse().expect("a valid name")
}

fn runner(number: usize) -> RunnerId {
    format!("runner-{number}").parse().expect("a valid name")
}

fn call(number: u64) -> RouteCall {
    RouteCall {
        id: CallId(number),
        service: service(),
        model: Some("model".parse().expect("a valid name")),
        workspace: format!("workspace-{}", number % 100).parse().expect("a valid name"),
        priority: CallPriority::Normal,
        prompt_tokens: TokenCount(800),
        max_tokens: TokenCount(4_000),
        length_hint: None,
        prefix_hash: number % 300,
        first_token_target: None,
        deadline: TimePoint::NEVER,
        streamed: true,
        movable: true,
        produced_tokens: TokenCount(0),
        tried_runners: Vec::new(),
    }
}

fn report(number: usize) -> RunnerReport {
    RunnerReport {
        runner: runner(number),
        incarnation: 1,
        sequence: 1,
        age: TimeSpan::millis(50),
        used_blocks: BlockCount(500 + (number % 700) as u32),
        total_blocks: BlockCount(4_096),
        block_tokens: 16,
        running: 10,
        waiting: 0,
        preemptions: 0,
        step: TimeSpan::millis(24),
        leaving: false,
        models: vec!["model".parse().expect("a valid name")],
        fence: 0,
    }
}

fn scheduler(runners: usize, now: TimePoint) -> RouteScheduler {
    let settings = RouteSettings {
        policy: PolicyName::Product,
        seed: 7,
        place: "place-0".parse().expect("a valid name"),
        queue_limit: 10_000,
    };
    let mut scheduler = RouteScheduler::new(settings);
    let weights = PolicyWeights::default();
    let kind = ServiceKind::Model;
    scheduler
        .handle(now, RouteEvent::Service { service: service(), kind, weights, shares: vec![] });
    let member = |number: usize| RouteMember {
        runner: runner(number),
        place: format!("place-{}", number % PLACES).parse().expect("a valid name"),
        leaving: false,
    };
    let members = (0..runners).map(member).collect();
    scheduler.handle(now, RouteEvent::Members { service: service(), members });
    for number in 0..runners {
        scheduler.handle(now, RouteEvent::Report(report(number)));
    }
    let used = runners.min(48) as u64;
    for number in 0..used * CALLS_PER_RUNNER {
        scheduler.handle(now, RouteEvent::Arrive(call(number)));
    }
    scheduler
}

fn decisions(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("decision");
    let now = TimePoint::default() + TimeSpan::seconds(10);
    for runners in RUNNER_COUNTS {
        let mut scheduler = scheduler(runners, now);
        let mut number = 1_000_000;
        let mut now = now;
        let mut sequence = 1;
        group.bench_function(BenchmarkId::from_parameter(runners), |bencher| {
            bencher.iter_batched(
                || {
                    number += 1;
                    call(number)
                },
                |call| {
                    now = now + ARRIVAL_GAP;
                    let id = call.id;
                    let next = id.0 as usize % runners;
                    sequence += 1;
                    let report = RunnerReport { sequence, ..report(next) };
                    scheduler.handle(now, RouteEvent::Report(report));
                    black_box(scheduler.handle(now, RouteEvent::Arrive(call)));
                    scheduler.handle(now, RouteEvent::Ended { call: id, end: CallEnd::Finished });
                },
                BatchSize::SmallInput,
            );
        });
    }
    group.finish();
}

criterion_group!(benches, decisions);
criterion_main!(benches);
