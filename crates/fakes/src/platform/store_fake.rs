//! The platform's store: topics that keep the newest value of each key, read as a log.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use hyper::header::HeaderValue;
use hyper::{Response, StatusCode};
use serde_json::{Value, json};
use web::{WebRequest, WebResponse, full_body, json_reply, read_bounded, text_reply};

use crate::{FakeHost, Result};

/// Longest append that is taken, in bytes.
const MAX_APPEND_BYTES: usize = 2 << 20;
/// Pause between two looks of a waiting read.
const LOOK_EVERY: Duration = Duration::from_millis(5);
/// Header with the store's era.
const ERA_HEADER: &str = "store-era";
/// Era of a store that has never come back from a copy.
const FIRST_ERA: u64 = 1;

/// How the store misbehaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum StoreFault {
    /// Not at all.
    #[default]
    None,
    /// It takes connections and answers nothing.
    Silent,
    /// It answers 503 to everything.
    Busy,
}

#[derive(Default)]
struct TopicState {
    /// Key and value of each record; none drops its key.
    records: Vec<(String, Option<Vec<u8>>)>,
    /// Records before this offset were deleted.
    first: usize,
}

impl TopicState {
    fn newest(&self) -> BTreeMap<&str, &[u8]> {
        let mut newest = BTreeMap::new();
        for (key, value) in &self.records {
            match value {
                Some(value) => newest.insert(key.as_str(), value.as_slice()),
                None => newest.remove(key.as_str()),
            };
        }
        newest
    }
}

/// How much of each topic was written when the copy was made.
#[derive(Debug, Clone, Default)]
pub struct StoreCopy {
    records: BTreeMap<String, usize>,
}

struct StoreState {
    topics: RefCell<BTreeMap<String, TopicState>>,
    fault: Cell<StoreFault>,
    era: Cell<u64>,
    calls: Cell<u64>,
    appends: Cell<u64>,
}

impl Default for StoreState {
    fn default() -> Self {
        Self {
            topics: RefCell::default(),
            fault: Cell::default(),
            era: Cell::new(FIRST_ERA),
            calls: Cell::default(),
            appends: Cell::default(),
        }
    }
}

/// A running store.
pub struct StoreFake {
    state: Rc<StoreState>,
    host: FakeHost,
}

impl StoreFake {
    /// Starts an empty store at `address`.
    ///
    /// # Errors
    /// If the address cannot be had.
    pub async fn start(address: SocketAddr) -> Result<Self> {
        let state: Rc<StoreState> = Rc::default();
        let shared = Rc::clone(&state);
        let host =
            FakeHost::start(address, move |request| answer_in_era(Rc::clone(&shared), request));
        Ok(Self { state, host: host.await? })
    }

    /// Its address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.host.address()
    }

    /// Calls so far.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.state.calls.get()
    }

    /// Appends of nodes so far.
    #[must_use]
    pub fn appends(&self) -> u64 {
        self.state.appends.get()
    }

    /// Its era.
    #[must_use]
    pub fn era(&self) -> u64 {
        self.state.era.get()
    }

    /// Starts or ends a fault.
    pub fn set_fault(&self, fault: StoreFault) {
        self.state.fault.set(fault);
    }

    /// Writes `value` under `key`; none drops the key.
    pub fn put(&self, topic: &str, key: &str, value: Option<&[u8]>) {
        let mut topics = self.state.topics.borrow_mut();
        let topic = topics.entry(topic.to_owned()).or_default();
        topic.records.push((key.to_owned(), value.map(<[u8]>::to_vec)));
    }

    /// Writes a JSON value under `key`.
    pub fn put_json(&self, topic: &str, key: &str, value: &Value) {
        self.put(topic, key, Some(value.to_string().as_bytes()));
    }

    /// Keys of a topic that have a value.
    #[must_use]
    pub fn keys(&self, topic: &str) -> Vec<String> {
        let topics = self.state.topics.borrow();
        let newest = topics.get(topic).map(TopicState::newest).unwrap_or_default();
        newest.into_keys().map(str::to_owned).collect()
    }

    /// Makes a copy for a later [`Self::come_back`].
    #[must_use]
    pub fn copy(&self) -> StoreCopy {
        let topics = self.state.topics.borrow();
        let records = topics.iter().map(|(name, topic)| (name.clone(), topic.records.len()));
        StoreCopy { records: records.collect() }
    }

    /// Takes the store away: it answers nothing, and reads that wait go on waiting.
    pub fn take_away(&self) {
        self.set_fault(StoreFault::Silent);
    }

    /// Brings the store back from `copy`: later records are gone, their offsets are given out
    /// again, and the era is one higher.
    pub fn come_back(&self, copy: &StoreCopy) {
        for (name, topic) in self.state.topics.borrow_mut().iter_mut() {
            topic.records.truncate(copy.records.get(name).copied().unwrap_or(0));
            topic.first = topic.first.min(topic.records.len());
        }
        self.state.era.set(self.state.era.get() + 1);
        self.set_fault(StoreFault::None);
    }

    /// Deletes the history of a topic; the newest value of each key stays.
    pub fn compact(&self, topic: &str) {
        if let Some(topic) = self.state.topics.borrow_mut().get_mut(topic) {
            topic.first = topic.records.len();
        }
    }
}

/// The answer, with the era in which it was given.
async fn answer_in_era(state: Rc<StoreState>, request: WebRequest) -> WebResponse {
    let mut response = answer(Rc::clone(&state), request).await;
    response.headers_mut().insert(ERA_HEADER, HeaderValue::from(state.era.get()));
    response
}

async fn answer(state: Rc<StoreState>, request: WebRequest) -> WebResponse {
    state.calls.set(state.calls.get() + 1);
    match state.fault.get() {
        StoreFault::None => (),
        StoreFault::Silent => std::future::pending().await,
        StoreFault::Busy => return text_reply(StatusCode::SERVICE_UNAVAILABLE, "busy"),
    }
    let query = query_of(&request);
    let topic = query.get("topic").cloned().unwrap_or_default();
    match request.uri().path() {
        "/api/log-newest" => newest(&state, &topic),
        "/api/log-read" => read(&state, &topic, &query).await,
        "/api/log-append" => append(&state, &topic, request).await,
        _ => text_reply(StatusCode::NOT_FOUND, "no such call"),
    }
}

fn query_of(request: &WebRequest) -> BTreeMap<String, String> {
    let query = request.uri().query().unwrap_or_default();
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.map(|(name, value)| (name.to_owned(), value.to_owned())).collect()
}

fn newest(state: &StoreState, topic: &str) -> WebResponse {
    let mut topics = state.topics.borrow_mut();
    let topic = topics.entry(topic.to_owned()).or_default();
    let entry =
        |(key, value): (&str, &[u8])| json!({ "key": key, "value": STANDARD.encode(value) });
    let entries: Vec<Value> = topic.newest().into_iter().map(entry).collect();
    let body = json!({ "entries": entries, "hasMore": false, "end": topic.records.len() });
    json_reply(StatusCode::OK, &body)
}

async fn read(state: &StoreState, topic: &str, query: &BTreeMap<String, String>) -> WebResponse {
    let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok());
    let from = usize::try_from(number("from").unwrap_or(0)).unwrap_or(usize::MAX);
    let end = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or(0));
    loop {
        if state.fault.get() != StoreFault::Silent
            && let Some(response) = read_now(state, topic, from, Instant::now() >= end)
        {
            return response;
        }
        compio::time::sleep(LOOK_EVERY).await;
    }
}

/// The answer, unless there is nothing and the read may wait.
fn read_now(state: &StoreState, topic: &str, from: usize, late: bool) -> Option<WebResponse> {
    let mut topics = state.topics.borrow_mut();
    let topic = topics.entry(topic.to_owned()).or_default();
    if from < topic.first || from > topic.records.len() {
        return Some(json_reply(StatusCode::GONE, &json!({ "first": topic.first })));
    }
    let records = topic.records.get(from..).unwrap_or_default();
    if records.is_empty() && !late {
        return None;
    }
    let mut bytes = Vec::new();
    bytes.extend_from_slice(&(topic.records.len() as u64).to_be_bytes());
    bytes.extend_from_slice(&(topic.first as u64).to_be_bytes());
    for (key, value) in records {
        let value = value.as_deref().unwrap_or_default();
        let length = u32::try_from(1 + key.len() + value.len()).unwrap_or(u32::MAX);
        bytes.extend_from_slice(&length.to_be_bytes());
        bytes.push(u8::try_from(key.len()).unwrap_or(u8::MAX));
        bytes.extend_from_slice(key.as_bytes());
        bytes.extend_from_slice(value);
    }
    Some(Response::new(full_body(bytes)))
}

async fn append(state: &StoreState, topic: &str, request: WebRequest) -> WebResponse {
    let Ok(bytes) = read_bounded("append", request.into_body(), MAX_APPEND_BYTES).await else {
        return text_reply(StatusCode::BAD_REQUEST, "no body");
    };
    let Some((key, value)) = decode_append(&bytes) else {
        return text_reply(StatusCode::BAD_REQUEST, "not a record");
    };
    let mut topics = state.topics.borrow_mut();
    let topic = topics.entry(topic.to_owned()).or_default();
    let offset = topic.records.len();
    topic.records.push((key, value));
    state.appends.set(state.appends.get() + 1);
    json_reply(StatusCode::OK, &json!({ "offset": offset, "end": offset + 1 }))
}

/// The one record of an append, as our nodes send it.
fn decode_append(bytes: &[u8]) -> Option<(String, Option<Vec<u8>>)> {
    let (&length, rest) = bytes.get(4..)?.split_first()?;
    let key = std::str::from_utf8(rest.get(..usize::from(length))?).ok()?.to_owned();
    let value = rest[usize::from(length)..].to_vec();
    Some((key, (!value.is_empty()).then_some(value)))
}
