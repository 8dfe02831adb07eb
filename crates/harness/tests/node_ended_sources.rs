//! Streams whose silent source ends while their run is offered to other nodes.

#[allow(dead_code, reason = "other tests count runs")]
mod service_fleet;

use std::cell::RefCell;
use std::time::Duration;

use compio::time::sleep;
use fakes::platform::{RunnerFakeSettings, RunnerScript, SharedScripts};
use futures_util::future::join;
use harness::{CallerRequest, LinkState, config};
use serde_json::json;
use service_fleet::{CUT, NODES, RUNNERS, ServiceFleet, take_turn};

/// Events of a stream, one in 20 ms.
const EVENTS: u64 = 150;
/// Time from the begin of the stream until its source falls silent.
const SILENT_AFTER: Duration = Duration::from_millis(500);
/// Time from then until its connection ends; the run is offered to other nodes meanwhile.
const ENDS_AFTER: Duration = Duration::from_millis(1_500);
/// Time that a copy takes.
const COPY_TIME: Duration = Duration::from_secs(2);
/// Time from then until the runners are reached again.
const REACHED_AFTER: Duration = Duration::from_millis(200);

/// Nodes withhold the slack of the retry budget for their first window.
const RETRY_WINDOW: Duration = Duration::from_secs(1);

fn long_streams(settings: &mut RunnerFakeSettings) {
    settings.events = EVENTS;
    settings.event_pause = Duration::from_millis(20);
}

/// Guards against LOST: a stream waits until its deadline once its source has ended and no node has taken its run.
#[test]
fn a_stream_that_may_run_again_does_so_when_its_source_ends_while_its_run_is_offered() {
    let _turn = take_turn();
    kernel::run(async {
        let sets = [("retry_window_seconds", json!(RETRY_WINDOW.as_secs_f64()))];
        let services = ServiceFleet::start_with(long_streams, &sets).await;
        let mut plan = config(2);
        plan["routes"][2]["streamResume"] = json!(true);
        plan["routes"][2]["maxAttempts"] = json!(3);
        services.fleet.store.put_json("keyed.op", "config", &plan);
        for node in 0..NODES {
            services.fleet.wait_event(node, "plan_in_force", "version", &json!(2)).await.unwrap();
        }
        sleep(RETRY_WINDOW).await;
        let request = CallerRequest::stream("ended").with("x-dotterelyard-length-hint", "10");
        let cut = async {
            sleep(SILENT_AFTER).await;
            for linked in &services.runners {
                linked.runner.slow_moves(COPY_TIME);
                linked.runner.refuse_stop_orders();
            }
            services.set("llm", usize::from(RUNNERS), LinkState::Stalled);
            sleep(ENDS_AFTER).await;
            // The run finds no runner with its copy.
            let refusal = SharedScripts::new(RefCell::new([RunnerScript::Refuse].into()));
            services.runners.iter().for_each(|linked| linked.runner.share_scripts(&refusal));
            services.set("llm", usize::from(RUNNERS), LinkState::Cut);
            sleep(REACHED_AFTER).await;
            services.set("llm", usize::from(RUNNERS), LinkState::Open);
        };
        let (stream, ()) = join(services.fleet.read_stream(CUT, &request), cut).await;
        let lines = ["source_silent", "run_offered", "send_failed", "stream_resumed", "end"];
        let lines = lines.map(|name| services.fleet.nodes[CUT].events(name));
        assert!(stream.has_all(EVENTS), "{stream:?} {lines:#?}");
    })
    .unwrap();
}
