//! What our processes say to each other, and how: messages over QUIC with mutual TLS.

mod message;

pub use message::{
    EntryRecord, EntryStatus, FleetView, ForwardedCall, ForwardedReply, PeerReply, PeerRequest,
    RunnerRecord,
};
