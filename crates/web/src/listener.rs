//! The close of a listening socket without the loss of the connections in its queue.

use std::net::TcpStream as StdTcpStream;

use compio::net::{TcpListener, TcpStream};
use rustix::io::Errno;
use rustix::net::{Shutdown, SocketFlags, accept_with, shutdown};

/// Stops listening; later connections are refused by the kernel. Returns the connections that it had
/// accepted before: their callers may have sent requests, and would get a reset as the only answer.
pub(crate) fn close_listener(listener: &TcpListener) -> Vec<TcpStream> {
    let mut waiting = Vec::new();
    loop {
        match accept_with(listener, SocketFlags::NONBLOCK | SocketFlags::CLOEXEC) {
            Ok(socket) => waiting.extend(TcpStream::from_std(StdTcpStream::from(socket))),
            Err(Errno::INTR | Errno::CONNABORTED) => {}
            // The queue is empty, or there are no file descriptors left for what is in it.
            Err(_) => break,
        }
    }
    // Not a close: clones of the server hold the socket.
    if let Err(error) = shutdown(listener, Shutdown::Read) {
        tracing::warn!(event = "listener_not_closed", %error);
    }
    waiting
}
