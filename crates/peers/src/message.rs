//! Messages between processes, encoded by `postcard` in a versioned envelope.

use std::net::SocketAddr;

use base::CacheEvent;
use base::prelude::*;
use booking::{BookingReply, HomeAddress, TableHandover};
use config::{ConfigDelta, ConfigPlan};
use serde::{Deserialize, Serialize};

use crate::{Digest, LeavingRunner};

/// An entry's status, as it reports it to its steward.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryStatus {
    /// The entry's incarnation.
    pub incarnation: VmIncarnation,
    /// HTTP address for callers.
    pub address: SocketAddr,
    /// UDP address for peers.
    pub peer: SocketAddr,
    /// It is leaving: no new callers.
    pub leaving: bool,
    /// Calls in progress.
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
    /// Its last status.
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
    /// It is leaving or drained: no new work.
    pub leaving: bool,
    /// Its newest report; the age includes the time up to the sending of the view.
    pub report: Option<RunnerReport>,
}

/// A steward's view for its entries, without the parts that the entry already has.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FleetView {
    /// Version of this view within the steward's incarnation; grows with each change.
    pub version: u64,
    /// The steward's incarnation; versions of different ones cannot be compared.
    pub steward: VmIncarnation,
    /// The configuration in force, if it is newer than the entry's.
    pub config: Option<Arc<ConfigPlan>>,
    /// All runners if `all_runners`, else those with a new report.
    pub runners: Vec<RunnerRecord>,
    /// Whether `runners` holds all runners, because their list or state changed.
    pub all_runners: bool,
    /// All entries that callers may use, if any changed.
    pub entries: Option<Vec<EntryRecord>>,
    /// Cache events since the entry's version; recent ones only.
    pub cache_events: Vec<(RunnerId, CacheEvent)>,
    /// This VM is cut off from the others: its entries are taken out of the lookups.
    pub cut_off: bool,
}

/// A booking that an entry forwards to the entry that is its home.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardedCall {
    /// The workspace of the caller.
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
    /// Time left until the caller's deadline, as of sending; the processes share no clock.
    pub remaining: TimeSpan,
}

/// A request from one of our processes to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// An entry asks its steward for the changes since `version`; the steward replies at
    /// once if there are any, else within `wait`.
    View {
        /// The entry.
        status: EntryStatus,
        /// Version that the entry has.
        version: u64,
        /// The steward's incarnation that `version` belongs to.
        steward: VmIncarnation,
        /// How long the reply may wait for a change.
        wait: TimeSpan,
    },
    /// A booking, forwarded to its home.
    Call(ForwardedCall),
    /// A stopping home hands its bookings to this entry.
    Adopt(TableHandover),
    /// The adopter is responsible for the bookings of these incarnations from now on.
    Adopted {
        /// The incarnations that stopped.
        homes: Vec<VmIncarnation>,
        /// The entry that took over their bookings.
        adopter: HomeAddress,
    },
    /// Asks for the state dump of the process.
    Dump,
    /// A steward's digest for another.
    Digest(Box<Digest>),
    /// A steward asks for a configuration newer than `have`.
    ConfigPull {
        /// Configuration that the asking steward has.
        have: LogOffset,
    },
    /// An entry reports to its steward that a runner refused work because it is leaving.
    Leaving(LeavingRunner),
}

/// The reply to a [`PeerRequest`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerReply {
    /// To [`PeerRequest::View`].
    View(Box<FleetView>),
    /// To [`PeerRequest::Call`].
    Call(BookingReply),
    /// To [`PeerRequest::Adopt`]: whether the table was adopted, now or earlier; if not, it
    /// was not and will not be.
    Adopted(bool),
    /// To [`PeerRequest::Adopted`].
    Noted,
    /// To [`PeerRequest::Dump`]: JSON.
    Dump(String),
    /// To [`PeerRequest::Digest`]: the replying steward's digest.
    Digest(Box<Digest>),
    /// To [`PeerRequest::ConfigPull`]: a newer configuration, if there is one.
    Config(Option<Box<ConfigDelta>>),
    /// The request was carried out and has no result.
    Done,
    /// The request is not for this process, or it cannot be served now; it had no effect.
    Refused(RefusalReason),
}
