//! Moves of the memory of runs from a runner to another one, as its interface says.

use std::fmt::Write as _;
use std::time::Instant;

use compio::net::TcpStream;
use serde_json::{Value, json};

use super::runner_answers::whole;
use super::runner_request::{RunnerRequest, write};
use super::runner_state::RunnerState;

/// Path of the handles of copies.
pub(super) const COPY_PATH: &str = "/api/kv-handle/";

/// Copies the memory of a run, and stops it if that is ordered.
pub(super) async fn answer_move(
    stream: &mut TcpStream,
    state: &RunnerState,
    request: &RunnerRequest,
) -> bool {
    state.moves.borrow_mut().push(Instant::now());
    let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
    let attempt = body["id"].as_str().unwrap_or_default();
    if state.is_one_move_at_a_time.get() && state.open_moves.borrow().contains(attempt) {
        return write(stream, whole("409 Conflict", &state.notice(), "{}")).await;
    }
    let run = state.runs_at_work.borrow().get(attempt).cloned();
    let is_order = body["last"] == true;
    let is_order_refused = is_order && state.stops_refused.get();
    let stops = is_order && !is_order_refused && !state.ignores_stops.get();
    if stops && let Some(run) = &run {
        run.stopped.raise();
    }
    if run.is_none() {
        return write(stream, whole("404 Not Found", &state.notice(), "{}")).await;
    }
    let is_refused = state.moves_refused.get() || is_order_refused;
    // A run that was stopped is kept, whether or not its copy finds room.
    let to = body["to"].as_str().and_then(|to| state.memory.find_place(to));
    let copy = to.filter(|to| !is_refused && state.memory.is_up(to));
    let is_refused = copy.is_none();
    let places: Vec<_> = stops.then_some(state.place).into_iter().chain(copy).collect();
    let copied = run
        .filter(|_| !places.is_empty())
        .and_then(|_| state.memory.copy(attempt, state.place, places));
    let uncounted = state.uncounted_events.get();
    let body = copied.as_ref().map(|(handle, events)| {
        json!({ "kvHandle": handle, "created": *events - uncounted }).to_string()
    });
    if is_refused {
        let mut notice = state.notice();
        if let Some(value) = state.retry_after.borrow().as_ref() {
            let _ = write!(notice, "Retry-After: {value}\r\n");
        }
        let body = body.as_deref().unwrap_or("{}");
        return write(stream, whole("503 Service Unavailable", &notice, body)).await;
    }
    let Some(body) = body else {
        return write(stream, whole("404 Not Found", &state.notice(), "{}")).await;
    };
    state.open_moves.borrow_mut().insert(attempt.to_owned());
    compio::time::sleep(state.move_time.get()).await;
    state.open_moves.borrow_mut().remove(attempt);
    write(stream, whole("200 OK", &state.notice(), &body)).await
}

/// Frees a copy; 404 if its handle is used or unknown.
pub(super) async fn answer_release(
    stream: &mut TcpStream,
    state: &RunnerState,
    request: &RunnerRequest,
) -> bool {
    let handle = request.path.strip_prefix(COPY_PATH).unwrap_or_default();
    state.releases.borrow_mut().push(handle.to_owned());
    let status = if state.memory.free(handle, state.place) { "200 OK" } else { "404 Not Found" };
    write(stream, whole(status, &state.notice(), "{}")).await
}
