//! A small entry that keeps its promises, or breaks one of them on purpose.

use std::net::SocketAddr;

use base::TimeSpan;
use fakes::FakeHost;
use fakes::engine_server::PromptSpec;
use futures_util::stream;
use hyper::body::Bytes;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request, StatusCode};
use serde_json::{Value, json};
use web::{
    ConnectionCloser, SseEvent, WebRequest, WebResponse, full_body, json_reply, read_bounded,
    send_once, stream_body,
};

/// Time for one exchange with the service.
const LIMIT: TimeSpan = TimeSpan::seconds(10);
/// Token after which a faulty stream goes wrong.
const FAULTY_INDEX: u32 = 2;

/// What the entry does wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Misdeed {
    /// Nothing.
    None,
    /// Closes each stream in the middle; that is allowed.
    CutStream,
    /// Says that it is overloaded, every other time; that is allowed.
    Refuse,
    /// Sends a token again.
    RepeatToken,
    /// Leaves a token out.
    SkipToken,
    /// Goes on with another generation.
    MixGenerations,
    /// Refuses in the middle of a stream.
    RefuseMidStream,
    /// Ends an answer early as done.
    ShortAnswer,
    /// Answers another request.
    ForeignAnswer,
    /// Sends a booking again.
    BookTwice,
    /// Calls a booking done that it has not sent.
    LoseBooking,
    /// Calls a booking not run that it has sent.
    RefuseRanBooking,
}

/// The stub; it keeps its streams' places in their cursors.
#[derive(Clone)]
pub struct StubEntry {
    misdeed: Misdeed,
    service: SocketAddr,
    address: std::rc::Rc<std::cell::Cell<Option<SocketAddr>>>,
    calls: std::rc::Rc<std::cell::Cell<u64>>,
}

#[derive(Clone, Copy)]
struct StreamPlace {
    tag: u32,
    length: u32,
    next: u32,
}

impl StreamPlace {
    fn of_prompt(prompt: &str) -> Self {
        let spec = PromptSpec::new(prompt);
        Self { tag: spec.tag, length: spec.length.0, next: 0 }
    }

    fn of_cursor(cursor: &str) -> Self {
        let mut parts = cursor.split('.').map(|part| part.parse().unwrap());
        Self {
            tag: parts.next().unwrap(),
            length: parts.next().unwrap(),
            next: parts.next().unwrap(),
        }
    }

    fn token(self, nonce: &str, index: u32) -> String {
        format!("{nonce}-{:08x}-{index} ", self.tag)
    }

    fn event(self, nonce: &str, index: u32) -> SseEvent {
        let cursor = format!("{}.{}.{}", self.tag, self.length, index + 1);
        let data = json!({ "index": index, "token": self.token(nonce, index) });
        SseEvent::new(Some(cursor), data.to_string())
    }
}

impl StubEntry {
    /// Starts the stub in front of one booking service.
    pub async fn start(misdeed: Misdeed, service: SocketAddr) -> FakeHost {
        let stub = Self {
            misdeed,
            service,
            address: std::rc::Rc::default(),
            calls: std::rc::Rc::default(),
        };
        let handler = stub.clone();
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let host = FakeHost::start(any, move |request| handler.clone().handle(request)).await;
        let host = host.unwrap();
        stub.address.set(Some(host.address()));
        host
    }

    async fn handle(self, request: WebRequest) -> WebResponse {
        let path = request.uri().path().to_owned();
        if path == "/v1/addresses" {
            return json_reply(
                StatusCode::OK,
                &json!({ "addresses": [self.address.get()], "home_tag": "tag", "expires_in_ms": 60_000 }),
            );
        }
        self.calls.set(self.calls.get() + 1);
        if self.misdeed == Misdeed::Refuse && self.calls.get() % 2 == 1 {
            return refusal("not_run", Some(20));
        }
        match path.as_str() {
            "/v1/completions" => self.complete(request).await,
            "/v1/completions/resume" => {
                let cursor = request.headers()["last-event-id"].to_str().unwrap().to_owned();
                self.stream(
                    StreamPlace::of_cursor(&cursor),
                    &ConnectionCloser::from_request(&request),
                )
            }
            _ => self.forward(request).await,
        }
    }

    async fn complete(&self, request: WebRequest) -> WebResponse {
        let closer = ConnectionCloser::from_request(&request);
        let bytes = read_bounded("call", request.into_body(), 1 << 20).await.unwrap();
        let body: Value = serde_json::from_slice(&bytes).unwrap();
        let prompt = body["prompt"].as_str().unwrap();
        let mut place = StreamPlace::of_prompt(prompt);
        match self.misdeed {
            Misdeed::ForeignAnswer => place.tag ^= 1,
            Misdeed::ShortAnswer => place.length -= 1,
            _ => (),
        }
        if body["stream"] == json!(true) {
            return self.stream(place, &closer);
        }
        let text: String = (0..place.length).map(|index| place.token("abcd", index)).collect();
        let answer = json!({ "outcome": "done", "text": text, "tokens": place.length });
        json_reply(StatusCode::OK, &answer)
    }

    fn stream(&self, place: StreamPlace, closer: &ConnectionCloser) -> WebResponse {
        let mut events: Vec<SseEvent> =
            (place.next..place.length).map(|index| place.event("abcd", index)).collect();
        let at = FAULTY_INDEX as usize;
        match self.misdeed {
            Misdeed::RepeatToken => events.insert(at, place.event("abcd", 0)),
            Misdeed::SkipToken => drop(events.remove(at)),
            Misdeed::MixGenerations => events[at] = place.event("0000", FAULTY_INDEX),
            Misdeed::RefuseMidStream => events[at] = mid_stream_refusal(),
            Misdeed::CutStream => events.truncate(at),
            _ => (),
        }
        if self.misdeed != Misdeed::CutStream || events.is_empty() {
            events.push(SseEvent::new(None, "[DONE]".to_owned()));
        }
        let cuts = self.misdeed == Misdeed::CutStream && place.next + FAULTY_INDEX < place.length;
        let closer = cuts.then(|| closer.clone());
        let chunks = stream::unfold((events.into_iter(), closer), async |(mut events, closer)| {
            let Some(event) = events.next() else {
                // The connection closes before the body's own end is written.
                closer?.close_unanswered().await;
                return None;
            };
            kernel::sleep(TimeSpan::millis(1).into()).await;
            Some((event.encode(), (events, closer)))
        });
        let mut response = WebResponse::new(stream_body(chunks));
        let events = HeaderValue::from_static("text/event-stream");
        response.headers_mut().insert(CONTENT_TYPE, events);
        response
    }

    async fn forward(&self, request: WebRequest) -> WebResponse {
        let booking = request.method() == Method::POST;
        let key = request.headers().get("idempotency-key").cloned();
        let path = request.uri().path().trim_start_matches("/v1/services/counter").to_owned();
        let send = async || {
            let mut copy = Request::builder().method(request.method()).uri(&path);
            if let Some(key) = &key {
                copy = copy.header("idempotency-key", key);
            }
            let copy = copy.body(full_body(Bytes::new())).unwrap();
            let response = send_once(self.service, copy, LIMIT, LIMIT).await.unwrap();
            read_bounded("answer", response.into_body(), 1 << 20).await.unwrap()
        };
        match (booking, self.misdeed) {
            (true, Misdeed::LoseBooking) => {
                let key = key.unwrap().to_str().unwrap().to_owned();
                json_reply(StatusCode::OK, &json!({ "booking": key, "count": 1 }))
            }
            (true, Misdeed::RefuseRanBooking) => {
                send().await;
                refusal("not_run", None)
            }
            (true, Misdeed::BookTwice) => {
                let first = send().await;
                send().await;
                WebResponse::new(full_body(first))
            }
            _ => WebResponse::new(full_body(send().await)),
        }
    }
}

fn refusal(outcome: &str, come_back_ms: Option<u64>) -> WebResponse {
    json_reply(StatusCode::SERVICE_UNAVAILABLE, &error_body(outcome, come_back_ms))
}

fn mid_stream_refusal() -> SseEvent {
    let data = error_body("not_run", None).to_string();
    SseEvent { id: None, event: "error".to_owned(), data }
}

fn error_body(outcome: &str, come_back_ms: Option<u64>) -> Value {
    json!({ "error": {
        "outcome": outcome, "reason": "overloaded", "message": "stub", "retry_after_ms": come_back_ms,
    }})
}
