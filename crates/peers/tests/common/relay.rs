//! A UDP relay whose target a test can change.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use compio::net::UdpSocket;

const MAX_DATAGRAM_BYTES: usize = 65_536;

/// Relays datagrams between one client and `target`; with none, it drops them.
pub struct TestLink {
    pub address: SocketAddr,
    pub target: Rc<Cell<Option<SocketAddr>>>,
}

impl TestLink {
    pub async fn new(target: SocketAddr) -> Self {
        let front = Rc::new(UdpSocket::bind("127.0.0.1:0").await.unwrap());
        let back = Rc::new(UdpSocket::bind("127.0.0.1:0").await.unwrap());
        let address = front.local_addr().unwrap();
        let target = Rc::new(Cell::new(Some(target)));
        let client = Rc::new(Cell::new(None));
        let (from, to, seen, aim) = (front.clone(), back.clone(), client.clone(), target.clone());
        kernel::spawn(async move {
            loop {
                let (bytes, sender) = receive(&from).await;
                seen.set(Some(sender));
                send(&to, bytes, aim.get()).await;
            }
        })
        .detach();
        let aim = target.clone();
        kernel::spawn(async move {
            loop {
                let (bytes, sender) = receive(&back).await;
                // Datagrams of an earlier target are dropped.
                if Some(sender) == aim.get() {
                    send(&front, bytes, client.get()).await;
                }
            }
        })
        .detach();
        Self { address, target }
    }
}

async fn receive(socket: &UdpSocket) -> (Vec<u8>, SocketAddr) {
    let buffer = Vec::with_capacity(MAX_DATAGRAM_BYTES);
    let compio::buf::BufResult(received, bytes) = socket.recv_from(buffer).await;
    let (_, sender) = received.unwrap();
    (bytes, sender)
}

async fn send(socket: &UdpSocket, bytes: Vec<u8>, target: Option<SocketAddr>) {
    if let Some(target) = target {
        let compio::buf::BufResult(sent, _) = socket.send_to(bytes, target).await;
        sent.unwrap();
    }
}
