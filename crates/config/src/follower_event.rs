//! Events and actions of a [`ConfigFollower`](crate::ConfigFollower).

use std::sync::Arc;

use base::{LogOffset, LogPage, PlaceName, TimeSpan, VmId};

use crate::ConfigDelta;

/// Settings of a follower.
#[derive(Debug, Clone)]
pub struct FollowerSettings {
    /// Seed of its jitter; different in every process.
    pub seed: u64,
    /// The machine on which it runs.
    pub vm: VmId,
    /// How long the log keeps records.
    pub retention: TimeSpan,
}

/// A live steward of the member list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FollowerMember {
    /// Its machine.
    pub vm: VmId,
    /// Its failure domain.
    pub place: PlaceName,
}

/// An event for a follower.
#[derive(Debug, Clone, PartialEq)]
pub enum FollowerEvent {
    /// Time has passed; due at [`next_wake`](crate::ConfigFollower::next_wake).
    Tick,
    /// The result of [`FollowerAction::Read`].
    Page(LogPage),
    /// The read failed or timed out.
    ReadFailed,
    /// A peer's digest carried this accepted offset.
    PeerOffset(LogOffset),
    /// The result of [`FollowerAction::RequestDelta`]; none if it failed.
    PeerDelta(Option<Arc<ConfigDelta>>),
    /// All live stewards, this one included.
    Members(Vec<FollowerMember>),
    /// The append of a checkpoint ended, successfully or not.
    CheckpointEnded,
}

/// An action that a follower asks its process to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum FollowerAction {
    /// Read the stream `config`; one read at a time.
    Read {
        /// First record wanted.
        from: LogOffset,
        /// Time for which the log may hold the read until there is a record.
        wait: TimeSpan,
        /// Most records wanted.
        max: usize,
    },
    /// Request the [`delta`](crate::ConfigState::delta) above this offset from one peer, if
    /// possible one that has more; one request at a time.
    RequestDelta {
        /// The offset that this process has folded.
        above: LogOffset,
    },
    /// Append this text to the stream `config`.
    WriteCheckpoint(Arc<str>),
    /// Announce that the plan changed; all of it up to this offset is in force here.
    InForce(LogOffset),
}
