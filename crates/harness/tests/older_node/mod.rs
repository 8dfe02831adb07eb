//! A node of an older build, as the nodes of a fleet see it.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use base::{LogOffset, StoreEra, VmIncarnation};
use compio::net::UdpSocket;
use serving::{
    HeartbeatSections, InputUpdate, LimitUpdate, PeerHeartbeat, PeerMessage, PlanVersion,
    encode_message,
};

/// Sends heartbeats of a ready node at `address` that reaches runners.
#[allow(dead_code, reason = "other tests hold its heartbeats back")]
pub async fn send_heartbeats(address: SocketAddr, era: StoreEra, target: SocketAddr) {
    send_heartbeats_unless(Rc::default(), address, era, target).await;
}

/// The same, with none while it `is_mute`.
pub async fn send_heartbeats_unless(
    is_mute: Rc<Cell<bool>>,
    address: SocketAddr,
    era: StoreEra,
    target: SocketAddr,
) {
    let socket = UdpSocket::bind(SocketAddr::new(address.ip(), 0)).await.unwrap();
    for sequence in 1.. {
        let heartbeat = PeerHeartbeat {
            vm: "older".parse().unwrap(),
            incarnation: VmIncarnation(7),
            sequence,
            caller_address: address,
            peer_address: address,
            place: "north".parse().unwrap(),
            ready: true,
            store_reachable: false,
            reaches_runners: true,
            store_era: era,
            plan_version: Some(PlanVersion(1)),
            runners_offset: LogOffset(0),
            loads: Vec::new(),
            waiting_services: Vec::new(),
            leaving: Vec::new(),
            input_update: InputUpdate::default(),
            limit_update: LimitUpdate::default(),
            sections: HeartbeatSections::default(),
        };
        let bytes = encode_message(&PeerMessage::Heartbeat(Box::new(heartbeat))).unwrap();
        if !is_mute.get() {
            let _ = socket.send_to(bytes, target).await;
        }
        compio::time::sleep(Duration::from_millis(100)).await;
    }
}
