//! A connection on which the head of the response has a limited size.
//!
//! The HTTP library bounds one head, but reads any number of interim responses before the final
//! one, for as long as their bytes arrive and without letting other tasks run.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use hyper::rt::{Read, ReadBuf, ReadBufCursor, Write};

/// Bytes that may arrive before the head of the final response is complete, with interim
/// responses and what follows the head in one read.
const MAX_HEAD_BYTES: usize = 256 << 10;
/// Bytes read at once while the head is awaited.
const HEAD_READ_BYTES: usize = 8 << 10;

/// What is left of the limit; ends it when the head has arrived.
#[derive(Debug, Clone)]
pub struct HeadLimit {
    /// Bytes that may still arrive; `None` without a limit.
    left: Rc<Cell<Option<usize>>>,
}

impl HeadLimit {
    /// The limit of a new connection.
    pub fn new() -> Self {
        Self { left: Rc::new(Cell::new(Some(MAX_HEAD_BYTES))) }
    }

    /// Ends the limit: the head has arrived.
    pub fn end(&self) {
        self.left.set(None);
    }
}

/// A connection whose reads fail once the head takes more than its limit.
pub struct BoundedHead<S> {
    stream: S,
    limit: HeadLimit,
}

impl<S> BoundedHead<S> {
    /// Puts `limit` on the reads of `stream`.
    pub fn new(stream: S, limit: HeadLimit) -> Self {
        Self { stream, limit }
    }
}

impl<S: Read + Unpin> Read for BoundedHead<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        mut buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let Some(left) = self.limit.left.get() else {
            return Pin::new(&mut self.stream).poll_read(context, buffer);
        };
        let mut bytes = [0; HEAD_READ_BYTES];
        let length = buffer.remaining().min(bytes.len());
        let mut part = ReadBuf::new(&mut bytes[..length]);
        ready!(Pin::new(&mut self.stream).poll_read(context, part.unfilled()))?;
        let read = part.filled();
        let Some(left) = left.checked_sub(read.len()) else {
            return Poll::Ready(Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "the head of the response does not end",
            )));
        };
        self.limit.left.set(Some(left));
        buffer.put_slice(read);
        Poll::Ready(Ok(()))
    }
}

impl<S: Write + Unpin> Write for BoundedHead<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, parts)
    }
}
