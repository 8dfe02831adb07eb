//! The queue of a runner's listener: connections that have come about, and that nobody has accepted.

use std::fs::read_to_string;
use std::io;
use std::net::SocketAddr;

use compio::net::{TcpListener, TcpSocket};

/// Length of the queue as it is told the system, which queues one connection more and then answers no
/// attempt to connect.
const QUEUE_LENGTH: i32 = 128;
/// Sockets of the system, one a line.
const SOCKETS: &str = "/proc/net/tcp";
/// State of a listening socket there.
const LISTENING: &str = "0A";

/// Listens on `address`.
///
/// # Errors
/// If the address cannot be had.
pub(super) async fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4().await?;
    socket.set_reuseaddr(true)?;
    socket.bind(address).await?;
    socket.listen(QUEUE_LENGTH).await
}

/// Whether the queue of the listener on `address` is full, so that new connections hang.
///
/// How long an attempt to connect takes does not tell: on a busy machine, one that finds room in the
/// queue may take as long.
pub(super) fn is_queue_full(address: SocketAddr) -> bool {
    let SocketAddr::V4(address) = address else { return false };
    let host = u32::from_ne_bytes(address.ip().octets());
    let own = format!("{host:08X}:{:04X}", address.port());
    let sockets = read_to_string(SOCKETS).unwrap_or_default();
    let queued = sockets.lines().find_map(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let [_, local, _, LISTENING, queues, ..] = fields[..] else { return None };
        let (_, received) = queues.split_once(':').filter(|_| local == own)?;
        i32::from_str_radix(received, 16).ok()
    });
    queued.is_some_and(|queued| queued > QUEUE_LENGTH)
}
