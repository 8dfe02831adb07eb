//! What a runner crashes on, and how it looks from outside once it has crashed.

use std::rc::Rc;

use compio::net::{TcpListener, TcpStream};
use futures_util::future::select;
use kernel::spawn;

use super::runner_request::RunnerRequest;
use super::runner_state::RunnerState;

/// A request that a runner crashes on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CrashTrigger {
    /// A prompt with this part: it crashes as it begins to answer.
    Part(String),
    /// A request with this path: it crashes as it begins to run it.
    Path(String),
}

impl CrashTrigger {
    /// Whether the runner crashes after the head of its answer to `request`.
    pub(super) fn hits_answer(&self, request: &RunnerRequest) -> bool {
        matches!(self, Self::Part(part) if request.has_part(part))
    }

    /// Whether the runner crashes before it answers `request`.
    pub(super) fn hits_run(&self, request: &RunnerRequest) -> bool {
        matches!(self, Self::Path(path) if request.path == *path)
    }
}

/// How a runner that has crashed looks from outside.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum CrashLook {
    /// Its connections are closed, and new ones refused.
    #[default]
    Refuses,
    /// Its connections are reset, and new ones too.
    Resets,
    /// Its connections are closed; new ones are accepted, and closed with the first request.
    Closes,
    /// Its connections are closed; new ones are accepted, and nobody answers.
    Accepts,
}

/// Goes on accepting connections for a runner that has crashed, until the runner is dropped.
pub(super) async fn look_crashed(listener: TcpListener, state: Rc<RunnerState>) {
    let look = state.crash_look.get();
    if look == CrashLook::Refuses {
        return;
    }
    let accept_all = async {
        while let Ok((stream, _)) = listener.accept().await {
            spawn(end_connection(stream, look, Rc::clone(&state))).detach();
        }
    };
    select(std::pin::pin!(accept_all), std::pin::pin!(state.ended.wait())).await;
}

async fn end_connection(mut stream: TcpStream, look: CrashLook, state: Rc<RunnerState>) {
    match look {
        CrashLook::Resets => {
            let _ = stream.set_zero_linger();
        }
        CrashLook::Accepts => state.ended.wait().await,
        CrashLook::Closes | CrashLook::Refuses => {
            RunnerRequest::read(&mut stream).await;
        }
    }
}
