//! The answers of a runner, written byte by byte.

use std::fmt::Write as _;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::io::AsyncRead;
use compio::net::TcpStream;
use futures_util::future::{Either, select};
use serde_json::{Value, json};

use super::endless_bytes::EndlessBytes;
use super::runner_records::RunnerVisit;
use super::runner_request::{RunnerRequest, write};
use super::runner_script::{LONG_BODY_BYTES, RunnerScript};
use super::runner_state::{RunAtWork, RunnerState};

/// Time from the begin of a run, or from the head of its answer, to the crash that it brings about.
const CRASH_AFTER: Duration = Duration::from_millis(20);
/// Pause between two bytes of an answer that is never complete.
const TRICKLE_PAUSE: Duration = Duration::from_millis(100);
/// Tokens of an event, as reports count the memory of a run.
const TOKENS_PER_EVENT: u64 = 1;
/// Priority of a request that names none.
const DEFAULT_PRIORITY: u8 = 5;
/// Time until the late rest of an answer.
const REST_AFTER: Duration = Duration::from_secs(3);

pub(super) async fn answer_without_end(
    stream: &mut TcpStream,
    state: &RunnerState,
    request: RunnerRequest,
    endless: EndlessBytes,
) {
    let mut signed = state.signature(request.header("x-dotterelyard-attempt-id"));
    if request.headers.contains_key("x-dotterelyard-model") {
        signed += "Content-Type: text/event-stream\r\n";
    }
    state.visits.borrow_mut().push(RunnerVisit { request, ran: true, at: Instant::now() });
    endless.write_to(stream, &signed).await;
}

pub(super) async fn answer_report(stream: &mut TcpStream, state: &RunnerState) -> bool {
    let word = if state.leaving.get() { "draining" } else { "ready" };
    let entry = |(attempt, run): (&String, &RunAtWork)| {
        json!([attempt, run.events * TOKENS_PER_EVENT, run.events, DEFAULT_PRIORITY])
    };
    let runs: Vec<Value> = state.runs_at_work.borrow().iter().map(entry).collect();
    let active = state.working.get();
    let report = json!({ "phase": "mixed", "active": active, "state": word, "runs": runs });
    write(stream, whole("200 OK", &state.notice(), &report.to_string())).await
}

pub(super) async fn answer_health(stream: &mut TcpStream, state: &RunnerState) -> bool {
    let mut headers =
        format!("{}X-Dotterelyard-Instance-Id: {}\r\n", state.notice(), state.settings.id);
    if state.cold.get().is_some() {
        let _ = write!(headers, "X-Dotterelyard-Cold-Ms: {}\r\n", state.cold_left_ms());
    }
    write(stream, whole("200 OK", &headers, "")).await
}

/// Answers a request; whether the connection goes on.
pub(super) async fn answer(
    stream: &mut TcpStream,
    state: &Rc<RunnerState>,
    request: RunnerRequest,
) -> bool {
    let script = state.next_script();
    let expected = request.header("x-dotterelyard-expect-instance").to_owned();
    let wrong = !expected.is_empty() && expected != state.settings.id;
    let refused = matches!(script, RunnerScript::Refuse | RunnerScript::RefuseEarly);
    let retry_after = state.retry_after.borrow().clone();
    let refused = refused || retry_after.is_some() || state.lacks_room();
    let is_taken = !wrong && !refused;
    let resumed = request.headers.get("kv-from").filter(|_| is_taken).map(|from| {
        state.memory.take(from, request.header("x-dotterelyard-attempt-id"), state.place)
    });
    let ran = is_taken && resumed != Some(false);
    state.visits.borrow_mut().push(RunnerVisit {
        request: request.clone(),
        ran,
        at: Instant::now(),
    });
    if wrong {
        let id = &state.settings.id;
        let headers = format!("{}X-Dotterelyard-Instance-Id: {id}\r\n", state.notice());
        return write(stream, whole("421 Misdirected Request", &headers, "")).await;
    }
    state.note_cold_request();
    if resumed == Some(false) {
        compio::time::sleep(state.settings.refusal_time).await;
    }
    if !ran {
        let mut headers = state.refusal_headers();
        if let Some(value) = retry_after {
            let _ = write!(headers, "Retry-After: {value}\r\n");
        }
        return write(stream, whole("503 Service Unavailable", &headers, "")).await;
    }
    if resumed == Some(true) {
        compio::time::sleep(state.settings.resume_time).await;
    }
    if script == RunnerScript::Silent {
        return wait_closed(stream, state).await;
    }
    if script == RunnerScript::CloseLate {
        wait_released(state).await;
        return false;
    }
    let trigger = state.crash_trigger.borrow().clone();
    if trigger.is_some_and(|trigger| trigger.hits_run(&request)) {
        return crash(state).await;
    }
    if request.headers.contains_key("x-dotterelyard-model") && script != RunnerScript::Failure {
        return answer_events(stream, state, &request, script).await;
    }
    state.plain_working.set(state.plain_working.get() + 1);
    let is_late = matches!(script, RunnerScript::AnswerLate | RunnerScript::FailureLate);
    let is_quick = !is_late && state.work.get().is_zero();
    let work = async {
        if is_late {
            wait_released(state).await;
        } else {
            compio::time::sleep(state.work.get()).await;
        }
    };
    let closed = if state.ignores_close.get() {
        work.await;
        false
    } else {
        let (work, closed) = (pin!(work), pin!(wait_closed(stream, state)));
        !is_quick && matches!(select(work, closed).await, Either::Right(_))
    };
    state.plain_working.set(state.plain_working.get() - 1);
    if closed {
        return false;
    }
    state.wait_while_silent().await;
    answer_plain(stream, state, &request, script).await
}

/// Waits until the test lets late answers go.
async fn wait_released(state: &RunnerState) {
    let late = state.late.borrow().clone();
    late.wait().await;
}

/// Waits until the connection is closed from outside; it does not go on then.
async fn wait_closed(stream: &mut TcpStream, state: &RunnerState) -> bool {
    let _ = stream.read(Vec::with_capacity(1)).await;
    state.abandoned.borrow_mut().push(Instant::now());
    false
}

/// Crashes a moment after it has begun to work; the connection is ended from outside.
async fn crash(state: &RunnerState) -> bool {
    compio::time::sleep(CRASH_AFTER).await;
    state.crashed.raise();
    std::future::pending().await
}

async fn answer_plain(
    stream: &mut TcpStream,
    state: &RunnerState,
    request: &RunnerRequest,
    script: RunnerScript,
) -> bool {
    let attempt = request.header("x-dotterelyard-attempt-id");
    let signed = state.signature(attempt);
    let body = format!("answer of {} to {attempt} {}", state.settings.id, request.path);
    let good = whole("200 OK", &signed, &body);
    match script {
        RunnerScript::Answer
        | RunnerScript::AnswerLate
        | RunnerScript::Refuse
        | RunnerScript::RefuseEarly
        | RunnerScript::FromStart => write(stream, good).await,
        RunnerScript::Failure | RunnerScript::FailureLate => {
            write(stream, whole("500 Internal Server Error", &signed, "failed")).await
        }
        RunnerScript::Truncate => {
            write(stream, &good[..good.len() - body.len() / 2]).await;
            false
        }
        RunnerScript::RestLate => {
            let (first, rest) = good.split_at(good.len() - body.len() / 2);
            let is_read = write(stream, first).await;
            compio::time::sleep(REST_AFTER).await;
            is_read && write(stream, rest).await
        }
        RunnerScript::Unframed => {
            write(stream, format!("HTTP/1.1 200 OK\r\n{signed}\r\n{body}")).await;
            false
        }
        RunnerScript::HeadCut(length) => {
            write(stream, &good[..length]).await;
            false
        }
        RunnerScript::EarlierRefusal => {
            let refusal = whole("503 Service Unavailable", &state.refusal_headers(), "");
            write(stream, format!("{good}{refusal}")).await
        }
        RunnerScript::Extra => write(stream, format!("{good}{good}")).await,
        RunnerScript::StatusLine(line) => {
            write(stream, good.replacen("HTTP/1.1 200 OK", line, 1)).await
        }
        RunnerScript::Garbage => {
            write(stream, "bytes that are no answer\r\n\r\n").await;
            false
        }
        RunnerScript::Unsigned => {
            let echo = format!("X-Dotterelyard-Attempt-Id: {attempt}\r\n");
            write(stream, whole("200 OK", &echo, &body)).await
        }
        RunnerScript::OtherAttempt => {
            write(stream, whole("200 OK", &state.signature("another"), &body)).await
        }
        RunnerScript::BareUnavailable => {
            write(stream, whole("503 Service Unavailable", &signed, "")).await
        }
        RunnerScript::Long => {
            write(stream, whole("200 OK", &signed, &"x".repeat(LONG_BODY_BYTES))).await
        }
        RunnerScript::Silent => std::future::pending().await,
        RunnerScript::Trickle
        | RunnerScript::Close
        | RunnerScript::CloseLate
        | RunnerScript::UnframedTruncate
        | RunnerScript::UnframedEmpty
        | RunnerScript::UnframedSilent => false,
    }
}

async fn answer_events(
    stream: &mut TcpStream,
    state: &Rc<RunnerState>,
    request: &RunnerRequest,
    script: RunnerScript,
) -> bool {
    if script == RunnerScript::Close {
        return false;
    }
    let attempt = request.header("x-dotterelyard-attempt-id");
    let backup = request.headers.get("x-dotterelyard-kv-backup");
    state.memory.begin(attempt, backup.map(String::as_str));
    let work = WorkGuard::new(state, attempt);
    let mut head = String::from("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n");
    let is_unframed = matches!(
        script,
        RunnerScript::Unframed
            | RunnerScript::UnframedTruncate
            | RunnerScript::UnframedEmpty
            | RunnerScript::UnframedSilent
    );
    let framing = if is_unframed { "" } else { "Transfer-Encoding: chunked\r\n" };
    let _ = write!(head, "{}{framing}\r\n", state.signature(attempt));
    if let RunnerScript::HeadCut(length) = script {
        write(stream, &head[..length]).await;
        return false;
    }
    if let RunnerScript::StatusLine(line) = script {
        head = head.replacen("HTTP/1.1 200 OK", line, 1);
    }
    if !write(stream, head).await {
        return false;
    }
    let trigger = state.crash_trigger.borrow().clone();
    if trigger.is_some_and(|trigger| trigger.hits_answer(request)) {
        return crash(state).await;
    }
    let last = request.header("last-event-id").parse::<u64>();
    let last = last.ok().filter(|_| script != RunnerScript::FromStart);
    let first = last.map_or(1, |last| last + 1);
    let mut is_read = true;
    for number in first..=state.settings.events {
        match script {
            RunnerScript::UnframedEmpty => return false,
            RunnerScript::UnframedSilent => return wait_closed(stream, state).await,
            RunnerScript::Trickle => return trickle(stream).await,
            _ => (),
        }
        if script == RunnerScript::UnframedTruncate && number == state.settings.events / 2 {
            write(stream, "id: 99").await;
            return false;
        }
        if script == RunnerScript::Truncate && number == state.settings.events / 2 {
            write(stream, "20\r\nid: 99").await;
            return false;
        }
        state.wait_while_silent().await;
        state.wait_while_preempted(&work.run.stopped).await;
        if work.run.stopped.is_raised() {
            return false;
        }
        let event = format!("id: {number}\ndata: token {number} of {attempt}\n\n");
        let framed = format!("{:x}\r\n{event}\r\n", event.len());
        is_read = is_read && write(stream, if is_unframed { event } else { framed }).await;
        if !is_read && !state.ignores_close.get() {
            return false;
        }
        work.note_event(number);
        if is_read {
            state.memory.note_event(attempt);
        }
        if !state.rushes.get() {
            compio::time::sleep(state.settings.event_pause).await;
        }
    }
    if !is_read {
        return false;
    }
    state.memory.end(attempt);
    !is_unframed && write(stream, "0\r\n\r\n").await
}

/// Sends an event byte by byte and never ends it.
async fn trickle(stream: &mut TcpStream) -> bool {
    while write(stream, "1\r\n:\r\n").await {
        compio::time::sleep(TRICKLE_PAUSE).await;
    }
    false
}

/// A stream that is at work until this is dropped.
struct WorkGuard {
    state: Rc<RunnerState>,
    attempt: String,
    run: RunAtWork,
}

impl WorkGuard {
    fn new(state: &Rc<RunnerState>, attempt: &str) -> Self {
        state.working.set(state.working.get() + 1);
        let number = state.next_run.get();
        state.next_run.set(number + 1);
        let run = RunAtWork { number, ..RunAtWork::default() };
        state.runs_at_work.borrow_mut().insert(attempt.to_owned(), run.clone());
        Self { state: Rc::clone(state), attempt: attempt.to_owned(), run }
    }

    fn note_event(&self, number: u64) {
        let mut runs = self.state.runs_at_work.borrow_mut();
        if let Some(run) = runs.get_mut(&self.attempt).filter(|run| run.number == self.run.number) {
            run.events = number;
        }
    }
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        self.state.working.set(self.state.working.get() - 1);
        let mut runs = self.state.runs_at_work.borrow_mut();
        if runs.get(&self.attempt).is_some_and(|run| run.number == self.run.number) {
            runs.remove(&self.attempt);
        }
    }
}

pub(super) fn whole(status: &str, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
}
