//! The weight store: transfers over a limited rate.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

use base::{TimePoint, TimeSpan};
use hyper::{Method, StatusCode};
use kernel::{MonotonicClock, sleep};
use serde::{Deserialize, Serialize};
use serde_json::json;
use web::{WebRequest, WebResponse};

use crate::reply::{error_reply, no_route, ok_reply, take_fault};

/// Span over which the rate is counted.
const RATE_SPAN: TimeSpan = TimeSpan::seconds(1);

/// Body of `POST /fault`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WeightFault {
    /// Every load is answered by 503.
    Outage(bool),
    /// Time of a transfer, in milliseconds.
    TransferMs(u64),
    /// Loads taken in any second; 0 for any number.
    LoadsPerSecond(usize),
}

/// What a store starts with.
#[derive(Debug, Clone, Copy, Default)]
pub struct WeightSettings {
    /// Time of a transfer.
    pub transfer: TimeSpan,
    /// Loads taken in any second; 0 for any number.
    pub loads_per_second: usize,
}

/// Body of `GET /stats`.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct WeightStats {
    /// Loads taken, by model.
    pub loads: BTreeMap<String, u64>,
    /// Loads refused for the rate.
    pub refused: u64,
    /// Most loads asked for in any second, taken or not.
    pub highest_per_second: usize,
}

/// The store; clones share it.
#[derive(Clone)]
pub struct WeightFake {
    clock: MonotonicClock,
    settings: Rc<Cell<WeightSettings>>,
    outage: Rc<Cell<bool>>,
    state: Rc<RefCell<WeightState>>,
}

#[derive(Default)]
struct WeightState {
    stats: WeightStats,
    asked: VecDeque<TimePoint>,
    taken: VecDeque<TimePoint>,
}

impl WeightFake {
    /// A store from which nothing was loaded.
    #[must_use]
    pub fn new(settings: WeightSettings) -> Self {
        Self {
            clock: MonotonicClock::new(),
            settings: Rc::new(Cell::new(settings)),
            outage: Rc::default(),
            state: Rc::default(),
        }
    }

    /// Switches a fault.
    pub fn set_fault(&self, fault: WeightFault) {
        let mut settings = self.settings.get();
        match fault {
            WeightFault::Outage(outage) => self.outage.set(outage),
            WeightFault::TransferMs(millis) => settings.transfer = TimeSpan::millis(millis),
            WeightFault::LoadsPerSecond(count) => settings.loads_per_second = count,
        }
        self.settings.set(settings);
    }

    /// Answers one request.
    pub async fn handle(self, request: WebRequest) -> WebResponse {
        let method = request.method().clone();
        let path = request.uri().path().to_owned();
        match (&method, path.as_str()) {
            (&Method::POST, "/fault") => take_fault(request, |fault| self.set_fault(fault)).await,
            (&Method::GET, "/stats") => ok_reply(&self.state.borrow().stats),
            (&Method::GET, _) => match path.strip_prefix("/weights/") {
                Some(model) => self.serve_load(model).await,
                None => no_route(&method, &path),
            },
            _ => no_route(&method, &path),
        }
    }

    async fn serve_load(&self, model: &str) -> WebResponse {
        if self.outage.get() {
            return error_reply(StatusCode::SERVICE_UNAVAILABLE, "the store is unavailable");
        }
        if !self.take_rate(model) {
            return error_reply(StatusCode::TOO_MANY_REQUESTS, "over the rate of loads");
        }
        sleep(self.settings.get().transfer.into()).await;
        ok_reply(&json!({ "model": model }))
    }

    fn take_rate(&self, model: &str) -> bool {
        let now = self.clock.now();
        let limit = self.settings.get().loads_per_second;
        let state = &mut *self.state.borrow_mut();
        let asked = count_recent(&mut state.asked, now);
        state.asked.push_back(now);
        state.stats.highest_per_second = state.stats.highest_per_second.max(asked + 1);
        if limit > 0 && count_recent(&mut state.taken, now) >= limit {
            state.stats.refused += 1;
            return false;
        }
        state.taken.push_back(now);
        *state.stats.loads.entry(model.to_owned()).or_default() += 1;
        true
    }
}

fn count_recent(times: &mut VecDeque<TimePoint>, now: TimePoint) -> usize {
    while times.front().is_some_and(|&at| now.since(at) >= RATE_SPAN) {
        times.pop_front();
    }
    times.len()
}
