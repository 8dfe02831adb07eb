//! The stream of a connection for the HTTP library, which keeps no bytes itself.
//!
//! It reads when the socket has bytes, and writes straight from the library's buffers. A stream that
//! lends buffers to the event loop holds two of 8 KiB for as long as its connection is open, also while
//! nothing arrives.

use std::cell::RefCell;
use std::io;
use std::os::fd::AsFd;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use compio::net::TcpStream;
use compio::runtime::fd::PollFd;
use hyper::rt::{Read, ReadBufCursor, Write};

use crate::metered_read::ReadMeter;

/// Largest read, in bytes. The library's buffer of 16 KiB holds one byte more, since a read that fills
/// it would double it.
const MAX_READ_BYTES: usize = (16 << 10) - 1;

thread_local! {
    /// What was read last; all connections of a thread use it in turn.
    static READ_BYTES: RefCell<Box<[u8]>> = RefCell::new(vec![0; MAX_READ_BYTES].into());
}

/// The stream of one connection.
pub(crate) struct SocketStream<S: AsFd> {
    socket: PollFd<S>,
    meter: Option<ReadMeter>,
}

/// The stream of `connection`; what is read is noted by `meter`.
///
/// # Errors
/// If the socket's mode cannot be set.
pub(crate) fn socket_stream(
    connection: TcpStream,
    meter: Option<ReadMeter>,
) -> io::Result<impl Read + Write + Unpin + 'static> {
    let socket = connection.into_poll_fd()?;
    // Sockets of the polling driver are so already.
    socket.set_nonblocking(true)?;
    Ok(SocketStream { socket, meter })
}

impl<S: AsFd + 'static> Read for SocketStream<S>
where
    for<'a> &'a S: io::Read,
{
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        mut target: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        READ_BYTES.with_borrow_mut(|buffer| {
            let room = target.remaining().min(buffer.len());
            let bytes = ready!(self.socket.poll_read(context, &mut buffer[..room]))?;
            if let Some(meter) = &self.meter {
                meter.check(&buffer[..bytes])?;
            }
            target.put_slice(&buffer[..bytes]);
            Poll::Ready(Ok(()))
        })
    }
}

impl<S: AsFd + 'static> Write for SocketStream<S>
where
    for<'a> &'a S: io::Write,
{
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.socket.poll_write(context, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.socket.poll_write_vectored(context, parts)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The socket has taken what was written.
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        futures_util::AsyncWrite::poll_close(Pin::new(&mut self.socket), context)
    }
}
