//! Load reports and cache events on their way to the outside: late, and with gaps.

use std::collections::VecDeque;

use base::{CacheEvent, TimePoint, TimeSpan, prelude::*};
use serde_json::{Value, json};

use crate::engine::LagLine;

/// Published cache events that are kept.
const MAX_CACHE_EVENTS: usize = 10_000;

/// What the engine says about itself, as the outside may see it.
#[derive(Default)]
pub struct ReportLine {
    reports: LagLine<(TimePoint, RunnerReport)>,
    visible: Option<(TimePoint, RunnerReport)>,
    coming_events: LagLine<CacheEvent>,
    events: VecDeque<CacheEvent>,
    next_sequence: u64,
}

impl ReportLine {
    /// Puts a report in.
    pub fn put_report(&mut self, now: TimePoint, lag: TimeSpan, report: RunnerReport) {
        self.reports.put(now, lag, (now, report));
    }

    /// The newest visible report with its age; the last visible one again if `frozen`.
    pub fn report(&mut self, now: TimePoint, frozen: bool) -> Option<RunnerReport> {
        if !frozen || self.visible.is_none() {
            self.visible = self.reports.take_newest(now).or(self.visible.take());
        }
        let (taken, report) = self.visible.clone()?;
        Some(RunnerReport { age: now.since(taken), ..report })
    }

    /// Puts a cache event in; a lost one only leaves its gap.
    pub fn put_event(&mut self, now: TimePoint, lag: TimeSpan, event: CacheEvent) {
        self.coming_events.put(now, lag, event);
    }

    /// The visible cache events from a sequence number on.
    pub fn events(&mut self, now: TimePoint, from: u64) -> Value {
        while let Some(event) = self.coming_events.take(now) {
            self.next_sequence = event.sequence + 1;
            self.events.push_back(event);
            if self.events.len() > MAX_CACHE_EVENTS {
                self.events.pop_front();
            }
        }
        let events: Vec<&CacheEvent> =
            self.events.iter().filter(|event| event.sequence >= from).collect();
        json!({ "events": events, "next": self.next_sequence.max(1) })
    }
}
