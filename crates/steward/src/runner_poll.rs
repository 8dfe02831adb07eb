//! Polls this steward's share of the runners: their load and their cache events.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use base::CacheEvent;
use base::prelude::*;
use peers::DuePoll;
use serde::Deserialize;
use web::fetch_json;

use crate::context::StewardContext;

/// Interval at which an empty share is checked again.
const IDLE_PAUSE: TimeSpan = TimeSpan::millis(50);

/// Least time between two polls of a runner's cache events, which are delayed anyway.
const CACHE_PERIOD: TimeSpan = TimeSpan::seconds(1);

/// When each runner's cache events are polled next.
type NextCaches = RefCell<BTreeMap<RunnerId, TimePoint>>;

#[derive(Deserialize)]
struct CacheAnswer {
    events: Vec<CacheEvent>,
}

/// Polls until the process ends; the polls of a round are spread over its period.
pub async fn run(context: Rc<StewardContext>) {
    let busy: Rc<RefCell<BTreeSet<RunnerId>>> = Rc::default();
    let next_caches: Rc<NextCaches> = Rc::default();
    loop {
        let share = context.read_fleet(|fleet| fleet.polls(context.now()));
        context.counters.gauge("runners.polled", share.len() as u64);
        if share.is_empty() {
            kernel::sleep(IDLE_PAUSE.into()).await;
            continue;
        }
        let pause = TimeSpan(context.settings.poll_interval.0 / share.len() as u64);
        for due in share {
            if busy.borrow_mut().insert(due.runner.clone()) {
                let (context, busy) = (Rc::clone(&context), Rc::clone(&busy));
                let next_caches = Rc::clone(&next_caches);
                kernel::spawn(async move {
                    poll(&context, &due, &next_caches).await;
                    busy.borrow_mut().remove(&due.runner);
                })
                .detach();
            }
            kernel::sleep(pause.into()).await;
        }
    }
}

async fn poll(context: &StewardContext, due: &DuePoll, next_caches: &NextCaches) {
    let DuePoll { runner, address, next_event } = due;
    let address = *address;
    let limit = context.settings.exchange_timeout;
    let report = fetch_json::<RunnerReport>("poll of a runner", address, "/load", limit).await;
    let Ok(report) = report else {
        // Entries see the age of the last report; a log line for each poll would add nothing.
        return context.counters.count("runner_poll.failed");
    };
    // A report that names another runner must not count as that runner's.
    if report.runner != *runner {
        return context.counters.count("runner_poll.foreign");
    }
    context.counters.count("runner_poll.done");
    let has_cache = report.total_blocks.0 > 0 && due_cache(context, runner, next_caches);
    context.update_fleet(|fleet, now| fleet.on_report(now, report));
    if !has_cache {
        return;
    }
    let path = format!("/cache-events?from={next_event}");
    let answer = fetch_json::<CacheAnswer>("poll of cache events", address, &path, limit).await;
    if let Ok(answer) = answer {
        context.update_fleet(|fleet, _| fleet.on_cache_events(runner, &answer.events));
    }
}

/// Whether a runner's cache events are due; if so, they are due again after a period.
fn due_cache(context: &StewardContext, runner: &RunnerId, next_caches: &NextCaches) -> bool {
    let now = context.now();
    let mut next_caches = next_caches.borrow_mut();
    if next_caches.get(runner).is_some_and(|next| now < *next) {
        return false;
    }
    next_caches.retain(|_, next| now < *next);
    next_caches.insert(runner.clone(), now + CACHE_PERIOD);
    true
}
