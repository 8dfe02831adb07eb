//! Transfers of state between nodes, the active configuration and the list of runners: serving
//! and fetching it.

use std::net::SocketAddr;
use std::rc::Rc;

use base::prelude::*;
use futures_util::stream;
use hyper::body::Bytes;
use hyper::header::{ACCEPT_ENCODING, CONTENT_ENCODING, HeaderMap, HeaderValue};
use hyper::{Request, Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serving::{
    PlanVersion, ServingPlan, StateCodecError, StateResult, TransferForm, TransferId, decode_state,
    encode_state,
};
use thiserror::Error;
use web::{WebError, WebRequest, WebResponse, full_body, json_reply, stream_body, text_reply};

use crate::context::NodeContext;

/// Path of the active configuration.
pub const PLAN_PATH: &str = "/plan";
/// Name of the encoding of [`encode_state`] in HTTP.
const ENCODING: &str = "deflate";
/// Size of the chunks that are paced, in bytes.
const CHUNK_BYTES: usize = 16 << 10;
/// Maximum size of an encoded state, in bytes.
const MAX_ENCODED_BYTES: usize = 16 << 20;
/// Maximum time to connect, until the head of the answer, and between two parts of the body. A
/// transfer has no limit on its whole time: one that is begun anew takes bandwidth again.
const STALL_TIMEOUT: TimeSpan = TimeSpan::millis(700);

/// An encoded configuration.
#[derive(Debug, Clone)]
pub struct EncodedPlan {
    /// Its version.
    pub version: PlanVersion,
    /// Its bytes, as transferred.
    pub bytes: Bytes,
}

/// A transfer that did not come through.
#[derive(Debug, Error)]
pub enum TransferError {
    /// The other node serves as many transfers as it may.
    #[error("state of another node with {peer}: it serves others")]
    Busy {
        /// The other node.
        peer: SocketAddr,
    },
    /// The HTTP exchange failed.
    #[error(transparent)]
    Exchange(#[from] WebError),
    /// The other node answered with an error.
    #[error("state of another node with {peer}: status {status}")]
    Status {
        /// The other node.
        peer: SocketAddr,
        /// HTTP status.
        status: StatusCode,
    },
    /// The bytes are not the state.
    #[error("with {peer}: {source}")]
    Malformed {
        /// The other node.
        peer: SocketAddr,
        /// The cause.
        source: StateCodecError,
    },
}

/// Result of this module's functions.
pub type Result<T> = std::result::Result<T, TransferError>;

/// Serves the active configuration to another node, unless enough others are being served.
pub fn answer_plan(context: &Rc<NodeContext>, request: &WebRequest) -> WebResponse {
    let Some(plan) = context.plan() else {
        return text_reply(StatusCode::SERVICE_UNAVAILABLE, "no configuration yet");
    };
    let is_encoded = accepts_encoding(request.headers());
    let form = if is_encoded { TransferForm::Compressed } else { TransferForm::Plain };
    let Some(id) = context.transfers.borrow_mut().try_begin(context.now(), form) else {
        return text_reply(StatusCode::TOO_MANY_REQUESTS, "other transfers are in progress");
    };
    let guard = TransferGuard { context: Rc::clone(context), id };
    match encode_reply(context, &plan, form) {
        Ok((bytes, encoding)) => {
            context.metrics.plans_sent.inc();
            let mut response = Response::new(paced_body(guard, bytes));
            if let Some(encoding) = encoding {
                response.headers_mut().insert(CONTENT_ENCODING, encoding);
            }
            response
        }
        Err(error) => {
            tracing::error!(event = "plan_not_encoded", version = plan.version.0, %error);
            text_reply(StatusCode::INTERNAL_SERVER_ERROR, "the configuration cannot be encoded")
        }
    }
}

/// Encodes the configuration; also returns the value of the header that names the encoding.
fn encode_reply(
    context: &NodeContext,
    plan: &ServingPlan,
    form: TransferForm,
) -> StateResult<(Bytes, Option<HeaderValue>)> {
    if form == TransferForm::Compressed {
        let encoded = encode_once(context, plan)?;
        return Ok((encoded.bytes, Some(HeaderValue::from_static(ENCODING))));
    }
    Ok((serde_json::to_vec(plan)?.into(), None))
}

/// Whether a request accepts the encoding; plain JSON is sent otherwise.
fn accepts_encoding(headers: &HeaderMap) -> bool {
    headers.get(ACCEPT_ENCODING).is_some_and(|value| value == ENCODING)
}

/// Serves a small state to another node.
pub fn answer_state(request: &WebRequest, state: &impl Serialize) -> WebResponse {
    if !accepts_encoding(request.headers()) {
        return json_reply(StatusCode::OK, state);
    }
    match encode_state(state) {
        Ok(bytes) => {
            let mut response = Response::new(full_body(bytes));
            response.headers_mut().insert(CONTENT_ENCODING, HeaderValue::from_static(ENCODING));
            response
        }
        Err(error) => {
            tracing::error!(event = "state_not_encoded", path = request.uri().path(), %error);
            text_reply(StatusCode::INTERNAL_SERVER_ERROR, "the state cannot be encoded")
        }
    }
}

/// The encoded configuration; encoded at its first use, or kept as it was fetched.
fn encode_once(context: &NodeContext, plan: &ServingPlan) -> StateResult<EncodedPlan> {
    let mut kept = context.encoded_plan.borrow_mut();
    if let Some(encoded) = kept.as_ref().filter(|encoded| encoded.version == plan.version) {
        return Ok(encoded.clone());
    }
    let bytes = Bytes::from(encode_state(plan)?);
    Ok(kept.insert(EncodedPlan { version: plan.version, bytes }).clone())
}

/// Ends a transfer when dropped, with the body or with its connection.
struct TransferGuard {
    context: Rc<NodeContext>,
    id: TransferId,
}

impl TransferGuard {
    /// Waits until a chunk of `bytes` may be sent.
    async fn wait_for_turn(&self, bytes: usize) {
        let now = self.context.now();
        let due = self.context.transfers.borrow_mut().schedule_chunk(now, self.id, bytes);
        kernel::sleep(due.since(now).into()).await;
    }
}

impl Drop for TransferGuard {
    fn drop(&mut self) {
        self.context.transfers.borrow_mut().end(self.id);
    }
}

/// A body whose chunks are sent when the link has room for them.
fn paced_body(guard: TransferGuard, bytes: Bytes) -> web::WebBody {
    stream_body(stream::unfold((guard, bytes), |(guard, mut rest)| async move {
        if rest.is_empty() {
            return None;
        }
        let chunk = rest.split_to(CHUNK_BYTES.min(rest.len()));
        guard.wait_for_turn(chunk.len()).await;
        Some((chunk, (guard, rest)))
    }))
}

/// Fetches the active configuration of the node at `peer`, and keeps its encoded form to serve it.
///
/// # Errors
/// [`TransferError`].
pub async fn fetch_plan(context: &NodeContext, peer: SocketAddr) -> Result<ServingPlan> {
    let (plan, encoded) =
        fetch_state::<ServingPlan>("configuration of another node", peer, PLAN_PATH).await?;
    if let Some(bytes) = encoded {
        *context.encoded_plan.borrow_mut() = Some(EncodedPlan { version: plan.version, bytes });
    }
    Ok(plan)
}

/// Fetches state of the node at `peer`; also returns its encoded form, unless that node sent it
/// as plain JSON.
///
/// # Errors
/// [`TransferError`].
pub async fn fetch_state<T: DeserializeOwned>(
    step: &'static str,
    peer: SocketAddr,
    path: &str,
) -> Result<(T, Option<Bytes>)> {
    let request = Request::get(path)
        .header(ACCEPT_ENCODING, ENCODING)
        .body(full_body(Bytes::new()))
        .map_err(|source| WebError::Request { step, source })?;
    let exchange = web::open_state_exchange(peer, request, STALL_TIMEOUT, STALL_TIMEOUT).await?;
    let response = exchange.response;
    match response.status() {
        StatusCode::OK => (),
        StatusCode::TOO_MANY_REQUESTS => return Err(TransferError::Busy { peer }),
        status => return Err(TransferError::Status { peer, status }),
    }
    let is_encoded = response.headers().contains_key(CONTENT_ENCODING);
    let body = response.into_body();
    let bytes = web::read_steadily(step, body, MAX_ENCODED_BYTES, STALL_TIMEOUT).await?;
    let malformed = |source| TransferError::Malformed { peer, source };
    if is_encoded {
        let state = decode_state(&bytes).map_err(malformed)?;
        return Ok((state, Some(bytes)));
    }
    let state = serde_json::from_slice(&bytes).map_err(|source| malformed(source.into()))?;
    Ok((state, None))
}
