//! Whether a call may be forwarded, and to which node.
//!
//! Load pattern: a node, or most nodes of a place, reach no runner, while callers, the store and
//! the other nodes reach them. Calls that arrive there have to be served by the remaining nodes,
//! without overloading the few of the place that still reach runners.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use base::prelude::*;

use crate::{PeerHeartbeat, PlanVersion, SendOutcome};

/// Nodes that one call is offered to at most. Each offer takes a connection and a round trip.
const MAX_OFFERS: usize = 4;
/// Time for which a node is left out that could not be connected to or declined a call. Heartbeats
/// tell within about this time why.
const DECLINED_PAUSE: TimeSpan = TimeSpan::millis(500);
/// Time for which a start of a node is left out whose build accepts no forwarded calls.
const UNSUPPORTED_PAUSE: TimeSpan = TimeSpan::seconds(30);

/// Whether one call may be forwarded, and the nodes that it was offered to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardState {
    is_allowed: bool,
    offered: Vec<VmId>,
}

impl ForwardState {
    /// State of a call that has not been sent. One that another node forwarded to this one is
    /// never forwarded again.
    #[must_use]
    pub fn new(is_forwarded: bool) -> Self {
        Self { is_allowed: !is_forwarded, offered: Vec::new() }
    }

    /// Records a send to a runner. A call that may have run is not forwarded.
    pub fn record_send(&mut self, outcome: SendOutcome) {
        match outcome {
            SendOutcome::NotSent | SendOutcome::Refused => (),
            SendOutcome::Failed | SendOutcome::Unknown => self.is_allowed = false,
        }
    }

    /// Records that the call is offered to a node.
    pub fn record_offer(&mut self, node: &VmId) {
        self.offered.push(node.clone());
    }

    /// Whether the call may be offered to a node that it was not offered to.
    #[must_use]
    pub fn may_forward(&self) -> bool {
        self.is_allowed && self.offered.len() < MAX_OFFERS
    }

    /// Whether the call was offered to this node.
    fn was_offered_to(&self, node: &VmId) -> bool {
        self.offered.contains(node)
    }
}

/// Why a node did not take a call, which has not run there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ForwardFailure {
    /// It could not be connected to.
    Unconnected,
    /// It cannot serve calls at present.
    Declined,
    /// Its build does not know the path.
    Unsupported,
}

impl ForwardFailure {
    fn pause(self) -> TimeSpan {
        match self {
            Self::Unconnected | Self::Declined => DECLINED_PAUSE,
            Self::Unsupported => UNSUPPORTED_PAUSE,
        }
    }
}

/// A node that a call is offered to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardTarget {
    /// The node.
    pub vm: VmId,
    /// Its start.
    pub incarnation: VmIncarnation,
    /// Address for requests of other nodes.
    pub address: SocketAddr,
}

impl ForwardTarget {
    fn from_heartbeat(heartbeat: &PeerHeartbeat) -> Self {
        Self {
            vm: heartbeat.vm.clone(),
            incarnation: heartbeat.incarnation,
            address: heartbeat.peer_address,
        }
    }
}

/// The forwarding node, as far as the choice depends on it.
#[derive(Debug, Clone, Copy)]
pub struct ForwardSource<'a> {
    /// Its place.
    pub place: &'a PlaceName,
    /// Version of the configuration that the call was matched against.
    pub plan_version: PlanVersion,
}

/// Nodes that did not take a call lately.
#[derive(Debug, Default)]
pub struct ForwardTable {
    left_out: BTreeMap<VmId, (VmIncarnation, TimePoint)>,
}

impl ForwardTable {
    /// Records that a node did not take a call.
    pub fn record_failure(
        &mut self,
        now: TimePoint,
        target: &ForwardTarget,
        failure: ForwardFailure,
    ) {
        self.left_out.retain(|_, (_, until)| *until > now);
        let entry = (target.incarnation, now + failure.pause());
        self.left_out.insert(target.vm.clone(), entry);
    }

    /// Whether there is a node to offer the call to.
    pub fn has_choice<'a>(
        &self,
        now: TimePoint,
        source: ForwardSource<'_>,
        call: &ForwardState,
        mut live: impl Iterator<Item = &'a PeerHeartbeat>,
    ) -> bool {
        call.may_forward() && live.any(|peer| self.is_eligible(now, source, call, peer))
    }

    /// Chooses the node to offer the call to, among the `live` ones; `draw` is a random number.
    ///
    /// Nodes of the own place are preferred while at least as many of them can take calls as
    /// reach no runner, this one included. Otherwise they would get the calls of several nodes
    /// each, and the choice is among the nodes of all places.
    pub fn choose<'a>(
        &self,
        now: TimePoint,
        source: ForwardSource<'_>,
        call: &ForwardState,
        live: impl Iterator<Item = &'a PeerHeartbeat>,
        draw: u64,
    ) -> Option<ForwardTarget> {
        if !call.may_forward() {
            return None;
        }
        let mut unreached_here = 1;
        let mut eligible = Vec::new();
        for peer in live {
            if self.is_eligible(now, source, call, peer) {
                eligible.push(peer);
            } else if !peer.reaches_runners && peer.place == *source.place {
                unreached_here += 1;
            }
        }
        let near = |peer: &&PeerHeartbeat| peer.place == *source.place;
        if eligible.iter().copied().filter(near).count() >= unreached_here {
            eligible.retain(near);
        }
        let count = u64::try_from(eligible.len()).ok().filter(|count| *count > 0)?;
        let index = usize::try_from(draw % count).ok()?;
        eligible.get(index).map(|peer| ForwardTarget::from_heartbeat(peer))
    }

    fn is_eligible(
        &self,
        now: TimePoint,
        source: ForwardSource<'_>,
        call: &ForwardState,
        peer: &PeerHeartbeat,
    ) -> bool {
        let is_left_out = self
            .left_out
            .get(&peer.vm)
            .is_some_and(|(incarnation, until)| *incarnation == peer.incarnation && *until > now);
        peer.reaches_runners
            && peer.ready
            && peer.plan_version >= Some(source.plan_version)
            && !is_left_out
            && !call.was_offered_to(&peer.vm)
    }
}
