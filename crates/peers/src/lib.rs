//! What our processes say to each other, and how: messages over QUIC with mutual TLS.

mod endpoint;
mod envelope;
mod error;
mod keys;
mod limits;
mod link;
mod message;
mod restart;
mod server;
mod stream;

pub use endpoint::PeerEndpoint;
pub use envelope::{MAX_MESSAGE_BYTES, MESSAGE_VERSION, decode_message, encode_message};
pub use error::{PeerError, RejectReason, Result};
pub use keys::{PeerKeys, TLS_NAME};
pub use limits::{
    CONNECT_LIMIT, IDLE_LIMIT, KEEP_ALIVE, LINK_LIMIT, MAX_CONNECTIONS, MAX_LINKS, MAX_REQUESTS,
};
pub use message::{
    EntryRecord, EntryStatus, FleetView, ForwardedCall, PeerReply, PeerRequest, RunnerRecord,
};
