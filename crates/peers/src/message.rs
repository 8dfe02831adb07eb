//! Messages between processes, encoded by `postcard` in a versioned envelope.

use std::net::SocketAddr;

use base::CacheEvent;
use base::prelude::*;
use booking::{BookingReply, HomeAddress, TableHandover};
use config::{ConfigDelta, ConfigPlan};
use serde::{Deserialize, Serialize};

use crate::{Digest, LeavingWord};

/// What an entry tells its steward about itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryStatus {
    /// The entry's start.
    pub incarnation: VmIncarnation,
    /// HTTP address for callers.
    pub address: SocketAddr,
    /// UDP address for peers.
    pub peer: SocketAddr,
    /// It stops: no new callers.
    pub leaving: bool,
    /// Calls that it serves now.
    pub calls: u32,
    /// Configuration that it uses.
    pub config_offset: LogOffset,
}

/// An entry, as the fleet knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryRecord {
    /// Its machine.
    pub vm: VmId,
    /// Its failure domain.
    pub place: PlaceName,
    /// What it last told its steward.
    pub status: EntryStatus,
}

/// A runner, as the fleet knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerRecord {
    /// The runner.
    pub runner: RunnerId,
    /// Its service.
    pub service: ServiceName,
    /// Its failure domain.
    pub place: PlaceName,
    /// Its HTTP address.
    pub address: SocketAddr,
    /// It gets no new work.
    pub leaving: bool,
    /// Its newest report; its age is counted up to when the view was sent.
    pub report: Option<RunnerReport>,
}

/// What a steward gives its entries; parts that did not change since `version` are none.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FleetView {
    /// Version of this view on this steward's incarnation; grows with each change.
    pub version: u64,
    /// The steward's start: versions of another start do not compare.
    pub steward: VmIncarnation,
    /// The configuration in force, if it is newer than what the entry said it uses.
    pub config: Option<Arc<ConfigPlan>>,
    /// All runners, if their list or state changed; else those with a new report.
    pub runners: Vec<RunnerRecord>,
    /// Whether `runners` holds all runners.
    pub all_runners: bool,
    /// All entries that callers may use, if they changed.
    pub entries: Option<Vec<EntryRecord>>,
    /// Cache events since `version`; recent ones only.
    pub cache_events: Vec<(RunnerId, CacheEvent)>,
    /// This VM is cut off from the others: its entries leave the lookups.
    pub cut_off: bool,
}

/// A call that is passed to the entry that is its home.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardedCall {
    /// Whose call it is.
    pub workspace: WorkspaceId,
    /// The service.
    pub service: ServiceName,
    /// The caller's home tag, signed.
    pub tag: Arc<str>,
    /// The caller's idempotency key.
    pub key: IdempotencyKey,
    /// HTTP method.
    pub method: Arc<str>,
    /// Path within the service, with its query.
    pub path: Arc<str>,
    /// Content type of the body.
    pub content_type: Arc<str>,
    /// The body.
    pub body: Vec<u8>,
    /// Time left until the caller's deadline.
    pub remaining: TimeSpan,
}

/// A request from one of our processes to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// An entry asks its steward for what changed since `version`; the steward answers at
    /// once if something did, else within `wait`.
    View {
        /// The entry.
        status: EntryStatus,
        /// Version that the entry has, of the steward's start `steward`.
        version: u64,
        /// The steward's start that `version` belongs to.
        steward: VmIncarnation,
        /// How long the answer may wait for a change.
        wait: TimeSpan,
    },
    /// A booking for its home.
    Call(ForwardedCall),
    /// A stopping home hands its bookings to this entry.
    Adopt(TableHandover),
    /// The sender answers for the bookings of these incarnations from now on.
    Adopted {
        /// The incarnations that have stopped.
        homes: Vec<VmIncarnation>,
        /// Who answers for them.
        adopter: HomeAddress,
    },
    /// The whole state of the process.
    Dump,
    /// A steward's news for another.
    Digest(Box<Digest>),
    /// A steward asks for a configuration newer than `have`.
    ConfigPull {
        /// Configuration that the asking steward has.
        have: LogOffset,
    },
    /// An entry tells its steward that a runner refused work because it leaves.
    Leaving(LeavingWord),
}

/// The answer to a [`PeerRequest`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerReply {
    /// To [`PeerRequest::View`].
    View(Box<FleetView>),
    /// To [`PeerRequest::Call`].
    Call(BookingReply),
    /// To [`PeerRequest::Adopt`]: whether the table was taken, now or earlier; if not, it
    /// never was and never will be.
    Adopted(bool),
    /// To [`PeerRequest::Adopted`].
    Noted,
    /// To [`PeerRequest::Dump`]: JSON.
    Dump(String),
    /// To [`PeerRequest::Digest`]: the answering steward's news.
    Digest(Box<Digest>),
    /// To [`PeerRequest::ConfigPull`]: a newer configuration, if there is one.
    Config(Option<Box<ConfigDelta>>),
    /// The request was carried out; there is nothing to say.
    Done,
    /// The request is not for this process, or it cannot be served now; it had no effect.
    Refused(RefusalReason),
}
