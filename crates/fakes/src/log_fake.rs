//! The platform's log: append-only streams with offsets, retention and faults.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::pin::pin;
use std::rc::Rc;

use base::{LogOffset, TimePoint, TimeSpan};
use futures_util::future::select;
use hyper::{Method, StatusCode};
use kernel::{MonotonicClock, sleep};
use serde::{Deserialize, Serialize};
use serde_json::json;
use web::{ConnectionCloser, WebRequest, WebResponse};

use crate::ChangeBell;
use crate::reply::{error_reply, no_route, ok_reply, query_value, read_body, read_json};

/// Longest wait of one read.
const MAX_WAIT: TimeSpan = TimeSpan::seconds(60);
/// Most records of one read.
const MAX_READ_RECORDS: usize = 10_000;
/// Span over which the rate of appends is counted.
const RATE_SPAN: TimeSpan = TimeSpan::seconds(1);

/// How the log behaves in an outage.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogOutage {
    /// No outage.
    #[default]
    Off,
    /// Every call is answered by 503 and has no effect.
    Refuse,
    /// No call is answered or has an effect; its connection closes when the outage ends.
    Hang,
}

/// Body of `POST /fault`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFault {
    /// Starts or ends an outage.
    Outage(LogOutage),
    /// The next appends take effect and get no answer; 0 ends it.
    LoseAnswer(u32),
    /// Delay of every call, in milliseconds; 0 ends it.
    SlowMs(u64),
    /// Records kept in each stream; 0 for all.
    KeepRecords(usize),
    /// Time for which records are kept, in milliseconds; 0 for ever.
    KeepMs(u64),
    /// Appends taken in any second; 0 for any number.
    AppendsPerSecond(usize),
}

/// What a log starts with.
#[derive(Debug, Clone, Copy, Default)]
pub struct LogSettings {
    /// Records kept in each stream; 0 for all.
    pub keep_records: usize,
    /// Time for which records are kept; zero for ever.
    pub keep_span: TimeSpan,
    /// Appends taken in any second; 0 for any number.
    pub appends_per_second: usize,
}

/// The log; clones share it.
#[derive(Clone, Default)]
pub struct LogFake {
    clock: MonotonicClock,
    settings: Rc<Cell<LogSettings>>,
    faults: Rc<FaultState>,
    state: Rc<RefCell<LogState>>,
    bell: ChangeBell,
}

#[derive(Default)]
struct FaultState {
    outage: Cell<LogOutage>,
    lose_answers: Cell<u32>,
    slow: Cell<TimeSpan>,
}

#[derive(Default)]
struct LogState {
    streams: BTreeMap<String, LogStream>,
    recent_appends: VecDeque<TimePoint>,
}

#[derive(Default)]
struct LogStream {
    /// Records that retention has removed.
    removed: u64,
    records: VecDeque<LogRecord>,
}

struct LogRecord {
    text: Rc<str>,
    appended: TimePoint,
}

#[derive(Serialize)]
struct RecordView {
    offset: LogOffset,
    text: Rc<str>,
    age_ms: u64,
}

impl LogFake {
    /// An empty log.
    #[must_use]
    pub fn new(settings: LogSettings) -> Self {
        Self { settings: Rc::new(Cell::new(settings)), ..Self::default() }
    }

    /// Switches a fault.
    pub fn set_fault(&self, fault: LogFault) {
        let mut settings = self.settings.get();
        match fault {
            LogFault::Outage(outage) => self.faults.outage.set(outage),
            LogFault::LoseAnswer(count) => self.faults.lose_answers.set(count),
            LogFault::SlowMs(millis) => self.faults.slow.set(TimeSpan::millis(millis)),
            LogFault::KeepRecords(count) => settings.keep_records = count,
            LogFault::KeepMs(millis) => settings.keep_span = TimeSpan::millis(millis),
            LogFault::AppendsPerSecond(count) => settings.appends_per_second = count,
        }
        self.settings.set(settings);
        self.bell.ring();
    }

    /// Answers one request.
    pub async fn handle(self, request: WebRequest) -> WebResponse {
        let method = request.method().clone();
        let path = request.uri().path().to_owned();
        if method == Method::POST && path == "/fault" {
            return match read_json(request).await {
                Ok(fault) => {
                    self.set_fault(fault);
                    ok_reply(&json!({}))
                }
                Err(refusal) => refusal,
            };
        }
        let closer = ConnectionCloser::from_request(&request);
        if let Err(refusal) = self.pass_faults(&closer).await {
            return refusal;
        }
        let stream = path.strip_prefix("/streams/").and_then(|rest| rest.strip_suffix("/records"));
        match (method, stream) {
            (Method::POST, Some(name)) => self.serve_append(name, request, &closer).await,
            (Method::GET, Some(name)) => self.serve_read(name, &request, &closer).await,
            (method, _) => no_route(&method, &path),
        }
    }

    async fn pass_faults(&self, closer: &ConnectionCloser) -> Result<(), WebResponse> {
        let slow = self.faults.slow.get();
        if slow > TimeSpan::default() {
            sleep(slow.into()).await;
        }
        self.pass_outage(closer).await
    }

    async fn pass_outage(&self, closer: &ConnectionCloser) -> Result<(), WebResponse> {
        let unavailable = || error_reply(StatusCode::SERVICE_UNAVAILABLE, "the log is unavailable");
        match self.faults.outage.get() {
            LogOutage::Off => Ok(()),
            LogOutage::Refuse => Err(unavailable()),
            LogOutage::Hang => {
                while self.faults.outage.get() == LogOutage::Hang {
                    self.bell.wait_past(self.bell.rung()).await;
                }
                Err(closer.close_unanswered().await)
            }
        }
    }

    async fn serve_append(
        &self,
        name: &str,
        request: WebRequest,
        closer: &ConnectionCloser,
    ) -> WebResponse {
        let bytes = match read_body(request).await {
            Ok(bytes) => bytes,
            Err(refusal) => return refusal,
        };
        let Ok(text) = std::str::from_utf8(&bytes) else {
            return error_reply(StatusCode::BAD_REQUEST, "the record is not UTF-8");
        };
        // The outage may have begun while the body came.
        if let Err(refusal) = self.pass_outage(closer).await {
            return refusal;
        }
        if !self.take_rate() {
            return error_reply(StatusCode::TOO_MANY_REQUESTS, "over the rate of appends");
        }
        let offset = self.append(name, text);
        let lose_answers = self.faults.lose_answers.get();
        if lose_answers > 0 {
            self.faults.lose_answers.set(lose_answers - 1);
            return closer.close_unanswered().await;
        }
        ok_reply(&json!({ "offset": offset }))
    }

    fn take_rate(&self) -> bool {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let appends = &mut state.recent_appends;
        while appends.front().is_some_and(|&at| now.since(at) >= RATE_SPAN) {
            appends.pop_front();
        }
        let limit = self.settings.get().appends_per_second;
        if limit > 0 && appends.len() >= limit {
            return false;
        }
        appends.push_back(now);
        true
    }

    fn append(&self, name: &str, text: &str) -> LogOffset {
        let mut state = self.state.borrow_mut();
        let stream = state.streams.entry(name.to_owned()).or_default();
        stream.records.push_back(LogRecord { text: text.into(), appended: self.clock.now() });
        let offset = LogOffset(stream.next().0 - 1);
        self.bell.ring();
        offset
    }

    async fn serve_read(
        &self,
        name: &str,
        request: &WebRequest,
        closer: &ConnectionCloser,
    ) -> WebResponse {
        let query = request.uri().query().unwrap_or("");
        let from = LogOffset(query_value(query, "from").unwrap_or(1));
        let wait = TimeSpan::millis(query_value(query, "wait_ms").unwrap_or(0)).min(MAX_WAIT);
        let max = query_value(query, "max").unwrap_or(MAX_READ_RECORDS).min(MAX_READ_RECORDS);
        let deadline = self.clock.now() + wait;
        loop {
            if let Err(refusal) = self.pass_outage(closer).await {
                return refusal;
            }
            let rung = self.bell.rung();
            let remaining = deadline.since(self.clock.now());
            if self.has_from(name, from) || remaining == TimeSpan::default() {
                return self.read(name, from, max);
            }
            let change = pin!(self.bell.wait_past(rung));
            select(change, pin!(sleep(remaining.into()))).await;
        }
    }

    fn has_from(&self, name: &str, from: LogOffset) -> bool {
        self.state.borrow().streams.get(name).is_some_and(|stream| stream.next() > from)
    }

    fn read(&self, name: &str, from: LogOffset, max: usize) -> WebResponse {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let stream = state.streams.entry(name.to_owned()).or_default();
        stream.expire(self.settings.get(), now);
        let first = stream.removed + 1;
        let skip = usize::try_from(from.0.saturating_sub(first)).unwrap_or(usize::MAX);
        let offset = first.saturating_add(skip as u64);
        let records: Vec<RecordView> = (offset..)
            .zip(stream.records.iter().skip(skip).take(max))
            .map(|(offset, record)| RecordView {
                offset: LogOffset(offset),
                text: Rc::clone(&record.text),
                age_ms: now.since(record.appended).0 / TimeSpan::millis(1).0,
            })
            .collect();
        ok_reply(&json!({ "first": first, "next": stream.next(), "records": records }))
    }
}

impl LogStream {
    fn next(&self) -> LogOffset {
        LogOffset(self.removed + self.records.len() as u64 + 1)
    }

    fn expire(&mut self, settings: LogSettings, now: TimePoint) {
        while self.records.front().is_some_and(|record| {
            let over_count =
                settings.keep_records > 0 && self.records.len() > settings.keep_records;
            let over_time = settings.keep_span > TimeSpan::default()
                && now.since(record.appended) > settings.keep_span;
            over_count || over_time
        }) {
            self.records.pop_front();
            self.removed += 1;
        }
    }
}
