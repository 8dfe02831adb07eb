//! Serving peers: bounded connections and requests, graceful stop.

use std::cell::Cell;
use std::pin::pin;
use std::rc::Rc;

use base::TimeSpan;
use compio::buf::bytes::Bytes;
use compio::runtime::spawn;
use compio::time::timeout;
use compio_quic::{Connection, Incoming, RecvStream, SendStream, VarInt};
use futures_util::future::{Either, select};
use kernel::StopSignal;

use crate::envelope::{MAX_MESSAGE_BYTES, decode_message, encode_message};
use crate::limits::{CONFIRM_LIMIT, CONNECT_LIMIT, MAX_CONNECTIONS, MAX_REQUESTS};
use crate::stream::read_message;
use crate::{PeerEndpoint, PeerError, PeerReply, PeerRequest, RejectReason};

/// Time for a peer to send a whole request.
const REQUEST_LIMIT: TimeSpan = TimeSpan::seconds(10);
/// Interval at which a stopping endpoint checks for requests in progress.
const DRAIN_POLL: TimeSpan = TimeSpan::millis(5);

impl PeerEndpoint {
    /// Serves until `stop` is raised, then until the last request in progress has been
    /// answered. Later requests are rejected without a call of the handler.
    pub async fn serve<F>(
        &self,
        stop: StopSignal,
        handler: impl Fn(PeerRequest) -> F + Clone + 'static,
    ) where
        F: Future<Output = PeerReply> + 'static,
    {
        loop {
            let incoming = pin!(self.inner.endpoint.wait_incoming());
            let incoming = match select(incoming, pin!(stop.wait())).await {
                Either::Left((Some(incoming), _)) => incoming,
                Either::Left((None, _)) | Either::Right(_) => break,
            };
            if self.connections() >= MAX_CONNECTIONS {
                self.count_rejected();
                incoming.refuse();
                continue;
            }
            let guard = CountGuard::new(self, |endpoint| &endpoint.inner.counts.connections);
            let endpoint = self.clone();
            let (stop, handler) = (stop.clone(), handler.clone());
            spawn(async move {
                let _guard = guard;
                endpoint.serve_connection(incoming, stop, handler).await;
            })
            .detach();
        }
        while self.requests() > 0 {
            compio::time::sleep(DRAIN_POLL.into()).await;
        }
    }

    async fn serve_connection<F>(
        &self,
        incoming: Incoming,
        stop: StopSignal,
        handler: impl Fn(PeerRequest) -> F + Clone + 'static,
    ) where
        F: Future<Output = PeerReply> + 'static,
    {
        let Some(connection) = accept(incoming).await else {
            self.count_rejected();
            return;
        };
        // The end of a connection is no fault here: calls that it breaks fail at their callers.
        while let Ok((sender, receiver)) = connection.accept_bi().await {
            if stop.is_raised() {
                self.reject(sender, receiver, RejectReason::Stopping);
                continue;
            }
            if self.requests() >= MAX_REQUESTS {
                self.reject(sender, receiver, RejectReason::Busy);
                continue;
            }
            let guard = CountGuard::new(self, |endpoint| &endpoint.inner.counts.requests);
            let (endpoint, handler) = (self.clone(), handler.clone());
            spawn(async move {
                let _guard = guard;
                endpoint.serve_request(sender, receiver, handler).await;
            })
            .detach();
        }
    }

    async fn serve_request<F>(
        &self,
        mut sender: SendStream,
        mut receiver: RecvStream,
        handler: impl Fn(PeerRequest) -> F,
    ) where
        F: Future<Output = PeerReply>,
    {
        let reading = read_message(&mut receiver, MAX_MESSAGE_BYTES);
        // An incomplete request never reaches the handler; its caller gets the error.
        let Ok(Ok(message)) = timeout(REQUEST_LIMIT.into(), reading).await else { return };
        let request = match message.map(|bytes| decode_message("request", &bytes)) {
            Some(Ok(request)) => request,
            Some(Err(PeerError::UnknownVersion { .. })) => {
                return self.reject(sender, receiver, RejectReason::UnknownVersion);
            }
            Some(Err(_)) | None => {
                return self.reject(sender, receiver, RejectReason::Malformed);
            }
        };
        let reply = handler(request).await;
        let Ok(bytes) = encode_message("reply", &reply) else { return };
        if sender.write_all_chunks(&mut [Bytes::from(bytes)]).await.is_err() {
            return;
        }
        let _ = sender.finish();
        // The request counts as in progress until the peer has the whole reply.
        let _ = timeout(CONFIRM_LIMIT.into(), sender.stopped()).await;
    }

    fn reject(&self, mut sender: SendStream, mut receiver: RecvStream, reason: RejectReason) {
        self.count_rejected();
        let code = VarInt::from_u32(reason.code());
        // Either half may be closed already, if the caller has gone.
        let _ = receiver.stop(code);
        let _ = sender.reset(code);
    }

    fn count_rejected(&self) {
        let rejected = &self.inner.counts.rejected;
        rejected.set(rejected.get() + 1);
    }
}

async fn accept(incoming: Incoming) -> Option<Connection> {
    let connecting = incoming.accept().ok()?;
    timeout(CONNECT_LIMIT.into(), connecting).await.ok()?.ok()
}

/// Counts a connection or request until it is dropped.
struct CountGuard {
    endpoint: PeerEndpoint,
    count: fn(&PeerEndpoint) -> &Cell<usize>,
}

impl CountGuard {
    fn new(endpoint: &PeerEndpoint, count: fn(&PeerEndpoint) -> &Cell<usize>) -> Self {
        let counter = count(endpoint);
        counter.set(counter.get() + 1);
        Self { endpoint: PeerEndpoint { inner: Rc::clone(&endpoint.inner) }, count }
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        let counter = (self.count)(&self.endpoint);
        counter.set(counter.get() - 1);
    }
}
