//! Whether a call may be forwarded, and to which node.
//!
//! Load pattern: a node, or most nodes of a place, reach no runner of a service, or too few of them,
//! while callers, the store and the other nodes reach them. Calls that arrive there have to be served
//! by the remaining nodes, without overloading the few that still reach the service.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use base::prelude::*;

use crate::{FleetLoads, FleetReach, PeerHeartbeat, PlanVersion, ReachShare, SendOutcome};

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
    is_forwarded: bool,
    is_allowed: bool,
    /// Whether the runners that this node reaches had no room in time.
    seeks_room: bool,
    offered: Vec<VmId>,
}

impl ForwardState {
    /// State of a call that has not been sent. One that another node forwarded to this one is
    /// never forwarded again.
    #[must_use]
    pub fn new(is_forwarded: bool) -> Self {
        Self { is_forwarded, is_allowed: !is_forwarded, seeks_room: false, offered: Vec::new() }
    }

    /// Whether another node forwarded the call to this one.
    #[must_use]
    pub fn is_forwarded(&self) -> bool {
        self.is_forwarded
    }

    /// Records that the runners that this node reaches had no room in time.
    pub fn seek_room(&mut self) {
        self.seeks_room = true;
    }

    /// Whether a node that reaches more runners of the service is sought.
    #[must_use]
    pub fn seeks_room(&self) -> bool {
        self.seeks_room
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
    /// The node that sent a heartbeat.
    #[must_use]
    pub fn from_heartbeat(heartbeat: &PeerHeartbeat) -> Self {
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
    /// Service of the call.
    pub service: &'a ServiceName,
    /// Share of the service's runners that the node reaches itself.
    pub reached: ReachShare,
}

/// What the other nodes have stated.
#[derive(Debug, Clone, Copy)]
pub struct ForwardFleet<'a> {
    /// Which shares of the services they reach.
    pub reach: &'a FleetReach,
    /// For which services their calls wait.
    pub loads: &'a FleetLoads,
}

/// Nodes that did not take a call lately.
#[derive(Debug, Default)]
pub struct ForwardTable {
    /// By service if the reason may concern only that.
    left_out: BTreeMap<(VmId, Option<ServiceName>), (VmIncarnation, TimePoint)>,
}

impl ForwardTable {
    /// Records that a node did not take a call of a service.
    pub fn record_failure(
        &mut self,
        now: TimePoint,
        target: &ForwardTarget,
        service: &ServiceName,
        failure: ForwardFailure,
    ) {
        self.left_out.retain(|_, (_, until)| *until > now);
        let concerned = (failure == ForwardFailure::Declined).then(|| service.clone());
        let entry = (target.incarnation, now + failure.pause());
        self.left_out.insert((target.vm.clone(), concerned), entry);
    }

    /// Whether there is a node to offer the call to.
    pub fn has_choice<'a>(
        &self,
        now: TimePoint,
        source: ForwardSource<'_>,
        call: &ForwardState,
        fleet: ForwardFleet<'_>,
        mut live: impl Iterator<Item = &'a PeerHeartbeat>,
    ) -> bool {
        call.may_forward() && live.any(|peer| self.is_eligible(now, source, call, fleet, peer))
    }

    /// Chooses the node to offer the call to, among the `live` ones; `draw` is a random number.
    ///
    /// Nodes of the own place are preferred while at least as many of them can take calls as
    /// reach no runner of the service, this one included. Otherwise they would get the calls of
    /// several nodes each, and the choice is among the nodes of all places. Nodes without waiting
    /// calls of the service go first, and each gets calls by the share of the runners that it
    /// reaches.
    pub fn choose<'a>(
        &self,
        now: TimePoint,
        source: ForwardSource<'_>,
        call: &ForwardState,
        fleet: ForwardFleet<'_>,
        live: impl Iterator<Item = &'a PeerHeartbeat>,
        draw: u64,
    ) -> Option<ForwardTarget> {
        if !call.may_forward() {
            return None;
        }
        let mut unreached_here = 1;
        let mut eligible = Vec::new();
        for peer in live {
            if self.is_eligible(now, source, call, fleet, peer) {
                eligible.push(peer);
            } else if peer_share(source, fleet, peer) == ReachShare::NONE
                && peer.place == *source.place
            {
                unreached_here += 1;
            }
        }
        let near = |peer: &&PeerHeartbeat| peer.place == *source.place;
        if eligible.iter().copied().filter(near).count() >= unreached_here {
            eligible.retain(near);
        }
        let has_room = |peer: &&PeerHeartbeat| !fleet.loads.is_waiting(&peer.vm, source.service);
        if eligible.iter().any(has_room) {
            eligible.retain(has_room);
        }
        let shares: Vec<u64> =
            eligible.iter().map(|peer| peer_share(source, fleet, peer).0).collect();
        let index = draw_by_weight(&shares, draw)?;
        Some(ForwardTarget::from_heartbeat(eligible[index]))
    }

    fn is_eligible(
        &self,
        now: TimePoint,
        source: ForwardSource<'_>,
        call: &ForwardState,
        fleet: ForwardFleet<'_>,
        peer: &PeerHeartbeat,
    ) -> bool {
        let is_left_out = [None, Some(source.service.clone())].into_iter().any(|concerned| {
            let entry = self.left_out.get(&(peer.vm.clone(), concerned));
            entry.is_some_and(|(incarnation, until)| {
                *incarnation == peer.incarnation && *until > now
            })
        });
        // A node that is not short of runners for a call but of room needs one that has some.
        let has_room =
            source.reached == ReachShare::NONE || !fleet.loads.is_waiting(&peer.vm, source.service);
        peer_share(source, fleet, peer) > source.reached
            && has_room
            && peer.ready
            && peer.plan_version >= Some(source.plan_version)
            && !is_left_out
            && !call.was_offered_to(&peer.vm)
    }
}

/// The share of the service's runners that a node reaches.
fn peer_share(
    source: ForwardSource<'_>,
    fleet: ForwardFleet<'_>,
    peer: &PeerHeartbeat,
) -> ReachShare {
    if peer.reaches_runners {
        fleet.reach.share(&peer.vm, source.service)
    } else {
        ReachShare::NONE
    }
}

/// The index that `draw` falls on if each index is as likely as its weight; `None` without weights.
fn draw_by_weight(weights: &[u64], draw: u64) -> Option<usize> {
    let divisor =
        weights.iter().copied().reduce(greatest_divisor).filter(|divisor| *divisor > 0)?;
    let total: u64 = weights.iter().map(|weight| weight / divisor).sum();
    let mut left = draw % total;
    weights.iter().position(|weight| {
        let is_drawn = left < weight / divisor;
        left = left.saturating_sub(weight / divisor);
        is_drawn
    })
}

fn greatest_divisor(a: u64, b: u64) -> u64 {
    if b == 0 { a } else { greatest_divisor(b, a % b) }
}
