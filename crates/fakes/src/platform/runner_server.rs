//! The connections of a runner: which are accepted, and what answers each of their requests.

use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use compio::net::{TcpListener, TcpStream};
use futures_util::future::{Either, select};
use kernel::spawn;

use super::runner_answers::{answer, answer_health, answer_report, answer_without_end};
use super::runner_crash::{CrashLook, look_crashed};
use super::runner_moves::{COPY_PATH, answer_move, answer_release};
use super::runner_request::RunnerRequest;
use super::runner_state::RunnerState;

/// Path of the health check.
const HEALTH_PATH: &str = "/healthz";
/// Pause between two looks at whether new connections are accepted again.
const LOOK_EVERY: Duration = Duration::from_millis(10);

/// Accepts connections of callers until the runner crashes, and looks crashed afterwards.
pub(super) async fn accept(listener: TcpListener, state: Rc<RunnerState>) {
    loop {
        let (accept, crashed) = (pin!(listener.accept()), pin!(state.crashed.wait()));
        let Either::Left((accepted, _)) = select(accept, crashed).await else { break };
        let Ok((stream, _)) = accepted else { continue };
        if !state.accepts.get() {
            state.held.borrow_mut().push(stream);
            while !state.accepts.get() && !state.crashed.is_raised() {
                compio::time::sleep(LOOK_EVERY).await;
            }
            continue;
        }
        if state.crash_look.get() == CrashLook::Resets {
            let _ = stream.set_zero_linger();
        }
        let shared = Rc::clone(&state);
        spawn(async move {
            let crashed = shared.crashed.clone();
            select(pin!(serve(stream, shared)), pin!(crashed.wait())).await;
        })
        .detach();
    }
    let linger = state.linger.get();
    if !linger.is_zero() {
        let accept_all = async { while listener.accept().await.is_ok() {} };
        let _ = compio::time::timeout(linger, accept_all).await;
    }
    look_crashed(listener, state).await;
}

/// The next request of a connection; `None` if it is closed, or idle for too long.
async fn read_request(stream: &mut TcpStream, state: &RunnerState) -> Option<RunnerRequest> {
    let reading = RunnerRequest::read(stream);
    match state.idle_time.get() {
        Some(idle) => compio::time::timeout(idle, reading).await.ok().flatten(),
        None => reading.await,
    }
}

/// Answers the requests of one connection.
async fn serve(mut stream: TcpStream, state: Rc<RunnerState>) {
    while let Some(request) = read_request(&mut stream, &state).await {
        state.wait_while_silent().await;
        if let Some(endless) = state.endless.get() {
            return answer_without_end(&mut stream, &state, request, endless).await;
        }
        let go_on = match request.path.as_str() {
            "/api/kv-move" => answer_move(&mut stream, &state, &request).await,
            "/api/report" => answer_report(&mut stream, &state).await,
            HEALTH_PATH => answer_health(&mut stream, &state).await,
            path if path.starts_with(COPY_PATH) => {
                answer_release(&mut stream, &state, &request).await
            }
            _ => answer(&mut stream, &state, request).await,
        };
        if !go_on {
            return;
        }
    }
}
