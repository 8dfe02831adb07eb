//! A TCP link that can be cut or stalled, put between a process and its peer.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::BufResult;
use compio::io::{AsyncRead, AsyncWrite, AsyncWriteExt};
use compio::net::{TcpListener, TcpStream};
use compio::runtime::spawn;
use compio::time::sleep;
use futures_util::future::{Either, select};
use kernel::StopSignal;

use crate::socket_owner::find_owner;
use crate::{HarnessError, Result};

/// Size of a copy buffer, in bytes.
const BUFFER_BYTES: usize = 16 << 10;
/// Time for which a piece of an answer fills a link with a limited rate.
const PIECE_TIME: Duration = Duration::from_millis(20);
/// Pause between two looks at the state of a stalled link.
const LOOK_EVERY: Duration = Duration::from_millis(5);

/// What a link does with what comes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum LinkState {
    /// Passes everything on.
    #[default]
    Open,
    /// Holds everything back; connections stay.
    Stalled,
    /// Passes requests on, but holds the answers back.
    AnswersStalled,
    /// Closes all connections and refuses new ones.
    Cut,
    /// Passes nothing on and closes nothing; the connections of that time do not recover.
    Lost,
    /// Closes new connections; open ones go on.
    NewCut,
}

/// A process by its id, and the state of its connections.
type ProcessState = (u32, Rc<Cell<LinkState>>);

/// A running link.
pub struct TestLink {
    address: SocketAddr,
    state: Rc<Cell<LinkState>>,
    /// Processes whose connections have a state of their own.
    processes: Rc<RefCell<Vec<ProcessState>>>,
    forwarded: Rc<Cell<u64>>,
    pace: Rc<AnswerPace>,
}

/// Bandwidth that all answers of a link share.
#[derive(Default)]
struct AnswerPace {
    /// Bytes a second; 0 for no limit.
    rate: Cell<u64>,
    /// When the link has sent all that was put on it.
    free_at: Cell<Option<Instant>>,
}

impl AnswerPace {
    /// Bytes that a connection may put on the link before others get their turn.
    fn piece(&self) -> usize {
        let bytes = self.rate.get() as f64 * PIECE_TIME.as_secs_f64();
        if self.rate.get() == 0 { BUFFER_BYTES } else { (bytes as usize).clamp(1, BUFFER_BYTES) }
    }

    /// Waits until `bytes` more have gone over the link.
    async fn pass(&self, bytes: usize) {
        let rate = self.rate.get();
        if rate == 0 {
            return;
        }
        let now = Instant::now();
        let begin = self.free_at.get().unwrap_or(now).max(now);
        let end = begin + Duration::from_secs_f64(bytes as f64 / rate as f64);
        self.free_at.set(Some(end));
        sleep(end - now).await;
    }
}

impl TestLink {
    /// Listens on `address` and passes connections on to `target`.
    ///
    /// # Errors
    /// If the address cannot be had.
    pub async fn start(address: SocketAddr, target: SocketAddr) -> Result<Self> {
        Self::start_until(address, target, StopSignal::new()).await
    }

    /// The same, but it listens only until `target` has ended, so that it refuses connections
    /// from then on.
    ///
    /// # Errors
    /// If the address cannot be had.
    pub async fn start_until(
        address: SocketAddr,
        target: SocketAddr,
        ended: StopSignal,
    ) -> Result<Self> {
        let listener = TcpListener::bind(address).await.map_err(|source| HarnessError::Io {
            step: "listen",
            what: address.to_string(),
            source,
        })?;
        let address = listener.local_addr().unwrap_or(address);
        let pace: Rc<AnswerPace> = Rc::default();
        let link = Self {
            address,
            state: Rc::default(),
            processes: Rc::default(),
            forwarded: Rc::default(),
            pace,
        };
        let (all, forwarded) = (Rc::clone(&link.state), Rc::clone(&link.forwarded));
        let processes = Rc::clone(&link.processes);
        let pace = Rc::clone(&link.pace);
        spawn(async move {
            loop {
                let (accept, end) = (pin!(listener.accept()), pin!(ended.wait()));
                let Either::Left((Ok((client, peer)), _)) = select(accept, end).await else {
                    return;
                };
                let state = find_state(&processes.borrow(), &all, peer, address);
                if matches!(state.get(), LinkState::Cut | LinkState::NewCut) {
                    continue;
                }
                if state.get() == LinkState::Lost {
                    spawn(hold(client)).detach();
                    continue;
                }
                let Ok(callee) = TcpStream::connect(target).await else { continue };
                let forwarded = Rc::clone(&forwarded);
                let (ask_read, answer_write) = client.into_split();
                let (answer_read, ask_write) = callee.into_split();
                let pace = Some(Rc::clone(&pace));
                let ask = copy(ask_read, ask_write, Rc::clone(&state), None, forwarded);
                let answer = copy(answer_read, answer_write, state, pace, Rc::default());
                spawn(ask).detach();
                spawn(answer).detach();
            }
        })
        .detach();
        Ok(link)
    }

    /// The address that it listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Gives the connections that process `pid` opens from now on a state of their own, and
    /// changes it.
    pub fn set_for(&self, pid: u32, state: LinkState) {
        let mut processes = self.processes.borrow_mut();
        match processes.iter().find(|(other, _)| *other == pid) {
            Some((_, own)) => own.set(state),
            None => processes.push((pid, Rc::new(Cell::new(state)))),
        }
    }

    /// Changes what it does, but for processes with a state of their own.
    pub fn set(&self, state: LinkState) {
        self.state.set(state);
    }

    /// Limits what all answers together may take, in bytes a second.
    pub fn set_answer_rate(&self, rate: u64) {
        self.pace.rate.set(rate);
    }

    /// Bytes passed on towards the target.
    #[must_use]
    pub fn forwarded(&self) -> u64 {
        self.forwarded.get()
    }
}

/// The state of the connection from `client`: that of its process, or else the one of `all`.
fn find_state(
    processes: &[ProcessState],
    all: &Rc<Cell<LinkState>>,
    client: SocketAddr,
    listener: SocketAddr,
) -> Rc<Cell<LinkState>> {
    let pids: Vec<u32> = processes.iter().map(|(pid, _)| *pid).collect();
    let owner = find_owner(&pids, client, listener);
    let own = processes.iter().find(|(pid, _)| Some(*pid) == owner);
    Rc::clone(own.map_or(all, |(_, state)| state))
}

/// Passes bytes on in one direction; answers have a pace.
async fn copy(
    mut from: TcpStream,
    mut to: TcpStream,
    state: Rc<Cell<LinkState>>,
    pace: Option<Rc<AnswerPace>>,
    count: Rc<Cell<u64>>,
) {
    loop {
        let piece = pace.as_ref().map_or(BUFFER_BYTES, |pace| pace.piece());
        let buffer = Vec::with_capacity(piece);
        let (read, broken) = (pin!(from.read(buffer)), pin!(wait_until_broken(&state)));
        let Either::Left((outcome, _)) = select(read, broken).await else { break };
        let BufResult(length, filled) = outcome;
        if !matches!(length, Ok(length) if length > 0)
            || wait_while_stalled(&state, pace.is_some()).await
        {
            break;
        }
        if let Some(pace) = &pace {
            pace.pass(filled.len()).await;
        }
        count.set(count.get() + filled.len() as u64);
        if to.write_all(filled).await.0.is_err() {
            break;
        }
    }
    if state.get() == LinkState::Lost {
        return hold((from, to)).await;
    }
    // Closing would wait for the other direction, whose task has a clone of the connection.
    let _ = to.shutdown().await;
}

/// Keeps a connection open without passing anything on.
async fn hold<T>(_connection: T) {
    std::future::pending::<()>().await;
}

fn is_broken(state: LinkState) -> bool {
    matches!(state, LinkState::Cut | LinkState::Lost)
}

async fn wait_until_broken(state: &Cell<LinkState>) {
    while !is_broken(state.get()) {
        sleep(LOOK_EVERY).await;
    }
}

/// Waits out a stall; true if the link was cut or lost.
async fn wait_while_stalled(state: &Cell<LinkState>, is_answer: bool) -> bool {
    loop {
        match state.get() {
            state if is_broken(state) => return true,
            LinkState::Stalled => (),
            LinkState::AnswersStalled if is_answer => (),
            _ => return false,
        }
        sleep(LOOK_EVERY).await;
    }
}
