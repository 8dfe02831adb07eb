//! Messages between our processes over QUIC with mutual TLS, and a steward's view of the
//! fleet that it builds from them.

mod bounded_set;
mod digest;
mod endpoint;
mod envelope;
mod error;
mod fleet_desk;
mod fleet_digest;
mod fleet_dump;
mod fleet_entries;
mod fleet_listing;
mod fleet_liveness;
mod fleet_news;
mod fleet_state;
mod fleet_view;
mod keys;
mod leaving_runners;
mod limits;
mod link;
mod message;
mod node_state;
mod peer_choice;
mod peer_topology;
mod poll_assignment;
mod report_share;
mod restart;
mod runner_state;
mod server;
mod stream;

pub use digest::{
    ChangeCursor, Digest, LeavingRunner, NodeNews, NodeRecord, ReportDelta, ReportDetail,
};
pub use endpoint::PeerEndpoint;
pub use envelope::{MAX_MESSAGE_BYTES, MESSAGE_VERSION, decode_message, encode_message};
pub use error::{PeerError, RejectReason, Result};
pub use fleet_desk::{FleetDesk, FleetSelf};
pub use fleet_entries::ENTRY_SILENCE;
pub use fleet_liveness::CUT_OFF_SILENCE;
pub use fleet_state::MemberState;
pub use keys::{PeerKeys, TLS_NAME};
pub use limits::{
    CONNECT_LIMIT, IDLE_LIMIT, KEEP_ALIVE, LINK_LIMIT, MAX_CONNECTIONS, MAX_LINKS, MAX_REQUESTS,
};
pub use link::PeerTraffic;
pub use message::{
    EntryRecord, EntryStatus, FleetView, ForwardedCall, PeerReply, PeerRequest, RunnerRecord,
};
pub use node_state::{PEER_SILENCE, RETIRED_HOLD};
pub use peer_choice::{FleetCells, MESH_NODES, PeerCandidate, PeerChoice, starts_exchange};
pub use poll_assignment::DuePoll;
pub use report_share::{REPORT_OWNERS, ReportShare};
