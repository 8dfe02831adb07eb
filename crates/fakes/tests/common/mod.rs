//! Starting stand-ins inside a test, and talking to them.

#![allow(dead_code)]

use std::net::SocketAddr;

use base::{TimePoint, TimeSpan};
use fakes::FakeHost;
use hyper::body::Bytes;
use hyper::{Method, Request};
use kernel::{MonotonicClock, sleep};
use serde_json::Value;
use web::{SseEvent, SseReader, WebError, WebRequest, WebResponse, fetch, full_body, send_once};

/// Time for one exchange, and for a condition to come true.
pub const LIMIT: TimeSpan = TimeSpan::seconds(20);
/// Pause between two looks at a condition.
const POLL_PERIOD: TimeSpan = TimeSpan::millis(5);

/// Runs a test on the loop.
pub fn run(test: impl Future<Output = ()>) {
    kernel::run(test).unwrap();
}

/// Starts a stand-in on any free port.
pub async fn start<F>(handler: impl Fn(WebRequest) -> F + Clone + 'static) -> FakeHost
where
    F: Future<Output = WebResponse> + 'static,
{
    FakeHost::start(SocketAddr::from(([127, 0, 0, 1], 0)), handler).await.unwrap()
}

/// Sends `text` and reads a JSON answer.
pub async fn call(
    host: &FakeHost,
    method: Method,
    path: &str,
    text: &str,
) -> Result<Value, WebError> {
    let body = Bytes::from(text.to_owned());
    let bytes = fetch("test call", method, host.address(), path, body, LIMIT).await?;
    Ok(serde_json::from_slice(&bytes).unwrap())
}

/// Gets a JSON answer.
pub async fn get(host: &FakeHost, path: &str) -> Value {
    call(host, Method::GET, path, "").await.unwrap()
}

/// Posts `text` and reads a JSON answer.
pub async fn post(host: &FakeHost, path: &str, text: &str) -> Result<Value, WebError> {
    call(host, Method::POST, path, text).await
}

/// Switches a fault.
pub async fn fault(host: &FakeHost, text: &str) {
    post(host, "/fault", text).await.unwrap();
}

/// The status of an error answer; 0 if no answer came.
pub fn status(answer: Result<Value, WebError>) -> u16 {
    match answer {
        Ok(value) => panic!("expected an error, got {value}"),
        Err(WebError::Status { status, .. }) => status,
        Err(_) => 0,
    }
}

/// Opens a stream of events.
pub async fn open(host: &FakeHost, method: Method, path: &str, text: &str) -> SseReader {
    let request =
        Request::builder().method(method).uri(path).body(full_body(text.to_owned())).unwrap();
    let response = send_once(host.address(), request, LIMIT, LIMIT).await.unwrap();
    assert_eq!(response.status(), 200);
    SseReader::new(response.into_body())
}

/// The events up to the end of the stream, and whether the connection ended orderly.
pub async fn read_all(mut reader: SseReader) -> (Vec<SseEvent>, bool) {
    let mut events = Vec::new();
    loop {
        match reader.next().await {
            Ok(Some(event)) => events.push(event),
            Ok(None) => return (events, true),
            Err(_) => return (events, false),
        }
    }
}

/// Waits until `condition` gives a value.
pub async fn wait_for<T>(mut condition: impl AsyncFnMut() -> Option<T>) -> T {
    let clock = MonotonicClock::new();
    let deadline = TimePoint::default() + LIMIT;
    while clock.now() < deadline {
        if let Some(value) = condition().await {
            return value;
        }
        sleep(POLL_PERIOD.into()).await;
    }
    panic!("the condition did not come true");
}
