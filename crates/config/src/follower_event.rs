//! What a [`ConfigFollower`](crate::ConfigFollower) is told, and what it asks for.

use std::sync::Arc;

use base::{LogOffset, LogPage, PlaceName, TimeSpan, VmId};

use crate::ConfigDelta;

/// Settings of a follower.
#[derive(Debug, Clone)]
pub struct FollowerSettings {
    /// Seed of its jitter; different in every process.
    pub seed: u64,
    /// The machine that it runs on.
    pub vm: VmId,
    /// How long the log keeps records.
    pub retention: TimeSpan,
}

/// A live steward, as the member list has it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FollowerMember {
    /// Its machine.
    pub vm: VmId,
    /// Its failure domain.
    pub place: PlaceName,
}

/// What a follower is told.
#[derive(Debug, Clone, PartialEq)]
pub enum FollowerEvent {
    /// Time has passed; due at [`next_wake`](crate::ConfigFollower::next_wake).
    Tick,
    /// The answer to [`FollowerAction::Read`].
    Page(LogPage),
    /// The read failed or took too long.
    ReadFailed,
    /// A peer's digest says that it has this accepted record.
    PeerOffset(LogOffset),
    /// The answer to [`FollowerAction::AskPeers`]; none if it failed.
    PeerDelta(Option<Arc<ConfigDelta>>),
    /// All live stewards, this one included.
    Members(Vec<FollowerMember>),
    /// The append of a checkpoint ended, well or not.
    CheckpointEnded,
}

/// What a follower asks for.
#[derive(Debug, Clone, PartialEq)]
pub enum FollowerAction {
    /// Read the stream `config`; one read at a time.
    Read {
        /// First record wanted.
        from: LogOffset,
        /// How long the log may wait for a record.
        wait: TimeSpan,
        /// Most records wanted.
        max: usize,
    },
    /// Ask one peer, if possible one that has more, for its
    /// [`delta`](crate::ConfigState::delta) above this offset; one question at a time.
    AskPeers {
        /// The offset that this process has folded.
        above: LogOffset,
    },
    /// Append this text to the stream `config`.
    WriteCheckpoint(Arc<str>),
    /// The plan has changed; all of it up to this offset is in force here.
    InForce(LogOffset),
}
