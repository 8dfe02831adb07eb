//! HTTP/1.1 on the single-threaded runtime: a server with connection and header limits, a
//! client that never retries, and server-sent events.

mod body;
mod client;
mod closer;
mod error;
mod interim_scan;
mod listener;
mod metered_read;
mod read_budget;
mod read_ledger;
mod reply;
mod reply_body;
mod reply_reader;
mod server;
mod socket_stream;
mod sse;
mod unread_bytes;

pub use body::{WebBody, discard_body, full_body, read_bounded, stream_body};
pub use client::{
    ConnectionTask, FetchLimit, MAX_FETCH_BYTES, WebAnswer, WebConnection, WebExchange, fetch,
    fetch_answer, fetch_json, open_exchange, open_state_exchange, post_json, send_once,
};
pub use closer::ConnectionCloser;
pub use error::{Result, SendFault, WebError};
pub use interim_scan::MAX_INTERIM_RESPONSES;
pub use read_budget::{FREE_READ_BYTES, ReadCharge, ReadUse, install_read_budget, read_use};
pub use read_ledger::{CONNECTION_BYTES, ReadLedger, ReadLimits, ReadPart};
pub use reply::{json_reply, refusal_reply, text_reply};
pub use reply_body::ReplyBody;
pub use reply_reader::{read_steadily, read_whole, read_whole_noting};
pub use server::{ConnectionRefusal, ServerLimits, WebServer};
pub use sse::{SseEvent, SseReader};

/// A request as the server passes it to its handler.
pub type WebRequest = hyper::Request<hyper::body::Incoming>;
/// A response as a handler returns it.
pub type WebResponse = hyper::Response<WebBody>;
