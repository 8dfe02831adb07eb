//! The HTTP server, with limits on connections and request headers and a graceful shutdown.

use std::cell::Cell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use base::TimeSpan;
use compio::net::{TcpListener, TcpStream};
use compio::runtime::spawn;
use compio::time::timeout;
use cyper_core::CompioTimer;
use futures_util::future::{Either, select};
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use kernel::StopSignal;

use crate::listener::close_listener;
use crate::socket_stream::socket_stream;
use crate::unread_bytes::drop_unread;
use crate::{ConnectionCloser, Result, WebError, WebRequest, WebResponse, discard_body};

/// Time for the first request of a connection that is new when its server stops.
const FIRST_REQUEST_TIME: TimeSpan = TimeSpan::millis(100);

/// Maximum number of headers of a request: those that callers may send, and those that a node adds to
/// a request which it forwards.
const MAX_HEADERS: usize = 128;

/// How often a stopping server checks whether its last connection has closed, and a full one whether a
/// refused connection has.
const DRAIN_POLL_INTERVAL: TimeSpan = TimeSpan::millis(10);
/// Connections over the limit that are answered at the same time; further ones wait to be accepted.
const MAX_REFUSED: usize = 64;
/// Time for a connection over the limit to send its request and to take the answer.
const REFUSED_TIME: TimeSpan = TimeSpan::seconds(1);
/// Largest body of a refused request that is read, in bytes.
const MAX_REFUSED_BYTES: usize = 1 << 20;

/// Makes the answer to a request for which there is no connection left.
pub type ConnectionRefusal = Rc<dyn Fn() -> WebResponse>;

/// Limits of a server.
#[derive(Debug, Clone, Copy)]
pub struct ServerLimits {
    /// Maximum number of concurrent connections; further ones are refused, or closed on accept.
    pub max_connections: usize,
    /// Maximum time for a caller to send a request's head.
    pub header_timeout: TimeSpan,
    /// Maximum size of a connection's buffer, which must hold a request's head, in bytes.
    pub max_header_bytes: usize,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            max_connections: 4_096,
            header_timeout: TimeSpan::seconds(5),
            max_header_bytes: 64 << 10,
        }
    }
}

/// A listening server. Clones share the listener and the connection counters.
#[derive(Clone)]
pub struct WebServer {
    address: SocketAddr,
    listener: Rc<TcpListener>,
    is_listening: Rc<Cell<bool>>,
    limits: ServerLimits,
    open: Rc<Cell<usize>>,
    rejected: Rc<Cell<u64>>,
    refused: Rc<Cell<usize>>,
    refusal: Option<ConnectionRefusal>,
}

impl WebServer {
    /// Starts listening on `address`.
    ///
    /// # Errors
    /// [`WebError::Listen`] if the socket cannot be bound.
    pub async fn bind(address: SocketAddr, limits: ServerLimits) -> Result<Self> {
        let listener = TcpListener::bind(address)
            .await
            .map_err(|source| WebError::Listen { address, source })?;
        let address =
            listener.local_addr().map_err(|source| WebError::Listen { address, source })?;
        Ok(Self {
            address,
            listener: Rc::new(listener),
            is_listening: Rc::new(Cell::new(true)),
            limits,
            open: Rc::default(),
            rejected: Rc::default(),
            refused: Rc::default(),
            refusal: None,
        })
    }

    /// Answers requests on connections over the limit with `refusal`.
    #[must_use]
    pub fn refuse_with(self, refusal: ConnectionRefusal) -> Self {
        Self { refusal: Some(refusal), ..self }
    }

    /// The address that the server listens on, with the actual port if 0 was requested.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Number of open connections.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.open.get()
    }

    /// Whether the server has stopped: it accepts no connections, and the last one has closed.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        !self.is_listening.get() && self.open.get() == 0 && self.refused.get() == 0
    }

    /// Number of connections refused, or closed on accept, because the limit was reached.
    #[must_use]
    pub fn rejected_connections(&self) -> u64 {
        self.rejected.get()
    }

    /// Serves until `stop` is raised, then until the last connection has closed. Connections that the
    /// kernel has accepted by then are served too; later ones are refused.
    pub async fn serve<F>(
        &self,
        stop: StopSignal,
        handler: impl Fn(WebRequest) -> F + Clone + 'static,
    ) where
        F: Future<Output = WebResponse> + 'static,
    {
        loop {
            let accept = pin!(self.listener.accept());
            let accepted = match select(accept, pin!(stop.wait())).await {
                Either::Left((accepted, _)) => accepted,
                Either::Right(_) => break,
            };
            // Accept errors are ignored: a connection that failed before it was accepted affects
            // only its caller.
            let Ok((stream, _)) = accepted else { continue };
            self.take_connection(stream, &stop, &handler).await;
        }
        let waiting = close_listener(&self.listener);
        for stream in waiting {
            self.take_connection(stream, &stop, &handler).await;
        }
        self.is_listening.set(false);
        while !self.has_ended() {
            compio::time::sleep(DRAIN_POLL_INTERVAL.into()).await;
        }
    }

    /// Serves a connection, or refuses it if there are too many.
    async fn take_connection<F>(
        &self,
        stream: TcpStream,
        stop: &StopSignal,
        handler: &(impl Fn(WebRequest) -> F + Clone + 'static),
    ) where
        F: Future<Output = WebResponse> + 'static,
    {
        if self.open.get() >= self.limits.max_connections {
            self.rejected.set(self.rejected.get() + 1);
            self.refuse_connection(stream, stop.clone()).await;
        } else {
            self.start_connection(stream, stop.clone(), handler.clone());
        }
    }

    /// Answers a connection over the limit, once there is room for that, or closes it.
    async fn refuse_connection(&self, stream: TcpStream, stop: StopSignal) {
        let Some(refusal) = self.refusal.clone() else { return };
        while self.refused.get() >= MAX_REFUSED {
            compio::time::sleep(DRAIN_POLL_INTERVAL.into()).await;
        }
        let guard = ConnectionGuard::new(&self.refused);
        let limits = ServerLimits { header_timeout: REFUSED_TIME, ..self.limits };
        let handler = move |request: WebRequest| {
            discard_body(request.into_body(), MAX_REFUSED_BYTES, REFUSED_TIME);
            let mut response = refusal();
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            async move { response }
        };
        let serving = serve_connection(stream, limits, stop, handler);
        spawn(async move {
            let _guard = guard;
            let _ = timeout(REFUSED_TIME.into(), serving).await;
        })
        .detach();
    }

    fn start_connection<F>(
        &self,
        stream: TcpStream,
        stop: StopSignal,
        handler: impl Fn(WebRequest) -> F + 'static,
    ) where
        F: Future<Output = WebResponse> + 'static,
    {
        let guard = ConnectionGuard::new(&self.open);
        let limits = self.limits;
        let _ = stream.set_nodelay(true);
        spawn(async move {
            let _guard = guard;
            serve_connection(stream, limits, stop, handler).await;
        })
        .detach();
    }
}

async fn serve_connection<F>(
    stream: TcpStream,
    limits: ServerLimits,
    stop: StopSignal,
    handler: impl Fn(WebRequest) -> F + 'static,
) where
    F: Future<Output = WebResponse> + 'static,
{
    let socket = stream.clone();
    let Ok(stream) = socket_stream(stream, None) else { return };
    let closer = ConnectionCloser::default();
    let request_closer = closer.clone();
    let service = service_fn(move |mut request: WebRequest| {
        request.extensions_mut().insert(request_closer.clone());
        let response = handler(request);
        async move { Ok::<_, Infallible>(response.await) }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(CompioTimer)
        .header_read_timeout(std::time::Duration::from(limits.header_timeout))
        .max_headers(MAX_HEADERS)
        .max_buf_size(limits.max_header_bytes);
    let mut connection = pin!(builder.serve_connection(stream, service));
    let mut until_closed = pin!(closer.wait());
    let first_request_end = Instant::now() + Duration::from(FIRST_REQUEST_TIME);
    let mut stopping = pin!(async {
        stop.wait().await;
        // A graceful shutdown closes a connection on which nothing has arrived.
        compio::time::sleep_until(first_request_end).await;
    });
    let mut until_stop = pin!(select(stopping.as_mut(), until_closed.as_mut()));
    // Errors are ignored: the caller disconnected or sent invalid HTTP, which hyper answers
    // itself where it can.
    let served = match select(connection.as_mut(), until_stop.as_mut()).await {
        Either::Left((served, _)) => Some(served),
        Either::Right((Either::Right(_), _)) => None,
        Either::Right((Either::Left(_), _)) => {
            connection.as_mut().graceful_shutdown();
            match select(connection, until_closed).await {
                Either::Left((served, _)) => Some(served),
                Either::Right(_) => None,
            }
        }
    };
    if matches!(served, Some(Ok(()))) {
        drop_unread(socket).await;
    }
}

/// Counts a connection as open until dropped.
struct ConnectionGuard {
    open: Rc<Cell<usize>>,
}

impl ConnectionGuard {
    fn new(open: &Rc<Cell<usize>>) -> Self {
        open.set(open.get() + 1);
        Self { open: Rc::clone(open) }
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.open.set(self.open.get() - 1);
    }
}
