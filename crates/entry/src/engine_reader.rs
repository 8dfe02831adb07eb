//! One reading of an engine's stream: its events go to the generation's task.

use std::net::SocketAddr;
use std::rc::Rc;

use base::{AttemptNumber, prelude::*};
use futures_channel::mpsc;
use futures_util::SinkExt;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::{Method, Request, Response, StatusCode};
use relay::{ReadNumber, RelayEvent, StreamToken};
use serde::Deserialize;
use web::{SendFault, SseReader, WebBody, WebError, full_body, read_bounded, send_once};

use crate::plain::says_leaving;

/// Time for a connection to an engine.
const CONNECT_TIME: TimeSpan = TimeSpan::millis(500);
/// Time for the head of an engine's answer.
const HEAD_TIME: TimeSpan = TimeSpan::seconds(5);
/// Time for the cancellation of an attempt.
const CANCEL_TIME: TimeSpan = TimeSpan::seconds(2);
/// When to come back to an engine that refused, if it did not say.
const COME_BACK: TimeSpan = TimeSpan::seconds(1);
/// Longest refusal that is read, in bytes.
const MAX_REFUSAL_BYTES: usize = 4 << 10;
/// Data of a stream's last event.
const END_MARK: &str = "[DONE]";

/// What is read, and under which numbers it is reported.
#[derive(Debug, Clone)]
pub struct ReadPlan {
    /// The engine.
    pub peer: SocketAddr,
    /// The generation.
    pub generation: GenerationId,
    /// The attempt.
    pub attempt: AttemptNumber,
    /// The reading.
    pub read: ReadNumber,
    /// How it begins.
    pub start: ReadStart,
}

/// How a reading begins.
#[derive(Debug, Clone)]
pub enum ReadStart {
    /// By posting the attempt: the JSON body.
    Post(Rc<[u8]>),
    /// By resuming it from a token on.
    Resume(TokenIndex),
}

/// What a reading reports.
#[derive(Debug)]
pub enum ReadReport {
    /// An event for the relay.
    Relay(RelayEvent),
    /// The engine refused because it is leaving.
    Leaving,
}

/// An event as engines write it.
#[derive(Debug, Deserialize)]
struct EngineToken {
    generation: GenerationId,
    attempt: AttemptNumber,
    index: TokenIndex,
    token: Arc<str>,
}

/// Reads until the stream ends or breaks; whatever happens is reported.
pub async fn read_engine(plan: ReadPlan, mut reports: mpsc::Sender<ReadReport>) {
    let outcome = match open(&plan).await {
        Ok(response) if response.status() == StatusCode::OK => {
            read_tokens(&plan, response.into_body(), &mut reports).await
        }
        Ok(response) => refusal(&plan, response, &mut reports).await,
        Err(error) => failure(&plan, &error),
    };
    // A task that no longer listens has no use for the end.
    let _ = reports.send(ReadReport::Relay(outcome)).await;
}

/// Asks the engine to cancel an attempt; its failure has no effect on the caller.
pub async fn cancel_attempt(peer: SocketAddr, generation: GenerationId, attempt: AttemptNumber) {
    let path = generation_path(generation, attempt);
    let empty = hyper::body::Bytes::new();
    let _ = web::fetch("cancel", Method::DELETE, peer, &path, empty, CANCEL_TIME).await;
}

fn generation_path(generation: GenerationId, attempt: AttemptNumber) -> String {
    format!("/v1/generations/{generation}/{attempt}")
}

async fn open(plan: &ReadPlan) -> Result<Response<Incoming>, WebError> {
    let builder = match &plan.start {
        ReadStart::Post(_) => Request::builder().method(Method::POST).uri("/v1/completions"),
        ReadStart::Resume(from) => {
            let path = generation_path(plan.generation, plan.attempt);
            Request::builder().uri(format!("{path}?from={from}"))
        }
    };
    let body: WebBody = match &plan.start {
        ReadStart::Post(body) => full_body(body.to_vec()),
        ReadStart::Resume(_) => full_body(""),
    };
    let request = builder
        .header(CONTENT_TYPE, "application/json")
        .body(body)
        .map_err(|source| WebError::Request { step: "engine request", source })?;
    send_once(plan.peer, request, CONNECT_TIME, HEAD_TIME).await
}

async fn read_tokens(
    plan: &ReadPlan,
    body: Incoming,
    reports: &mut mpsc::Sender<ReadReport>,
) -> RelayEvent {
    let mut reader = SseReader::new(body);
    while let Ok(Some(event)) = reader.next().await {
        if event.data == END_MARK {
            return RelayEvent::Completed { attempt: plan.attempt, read: plan.read };
        }
        let Ok(token) = serde_json::from_str::<EngineToken>(&event.data) else { break };
        let token = StreamToken {
            generation: token.generation,
            attempt: token.attempt,
            index: token.index,
            text: token.token,
        };
        let report = ReadReport::Relay(RelayEvent::Token { read: plan.read, token });
        if reports.send(report).await.is_err() {
            break;
        }
    }
    RelayEvent::ReadFailed { attempt: plan.attempt, read: plan.read }
}

/// A status other than 200: by the engines' contract the request was not run.
async fn refusal(
    plan: &ReadPlan,
    response: Response<Incoming>,
    reports: &mut mpsc::Sender<ReadReport>,
) -> RelayEvent {
    let status = response.status();
    if matches!(plan.start, ReadStart::Resume(_)) {
        return RelayEvent::RunnerLost { attempt: plan.attempt };
    }
    let body = read_bounded("engine refusal", response.into_body(), MAX_REFUSAL_BYTES).await;
    if body.is_ok_and(|body| says_leaving(&body)) {
        let _ = reports.send(ReadReport::Leaving).await;
    }
    let not_run = matches!(status.as_u16(), 404 | 409 | 429 | 503);
    if !not_run {
        return RelayEvent::RunnerLost { attempt: plan.attempt };
    }
    RelayEvent::Refused {
        attempt: plan.attempt,
        reason: RefusalReason::NoRunner,
        retry_after: Some(COME_BACK),
    }
}

fn failure(plan: &ReadPlan, error: &WebError) -> RelayEvent {
    let (attempt, read) = (plan.attempt, plan.read);
    match (&plan.start, error.send_fault()) {
        (ReadStart::Post(_), SendFault::NotSent) => RelayEvent::Refused {
            attempt,
            reason: RefusalReason::NoRunner,
            retry_after: Some(COME_BACK),
        },
        // A refused connection means that the engine's process, and so the attempt, is gone.
        (ReadStart::Resume(_), _) if is_refused(error) => RelayEvent::RunnerLost { attempt },
        _ => RelayEvent::ReadFailed { attempt, read },
    }
}

fn is_refused(error: &WebError) -> bool {
    match error {
        WebError::Connect { source, .. } => source.kind() == std::io::ErrorKind::ConnectionRefused,
        _ => false,
    }
}
