//! Closing a connection whose caller has sent more than was read.
//!
//! A socket that closes with unread bytes is reset: what its caller has not received of the last answer
//! is lost.

use std::io::{self, Read};
use std::os::fd::AsFd;

use base::TimeSpan;
use compio::net::TcpStream;
use compio::runtime::fd::PollFd;
use compio::time::timeout;
use futures_util::AsyncReadExt;

/// Time for a caller to receive the last answer and to close its side.
const DROP_TIME: TimeSpan = TimeSpan::seconds(5);
/// Most that is read and dropped, in bytes.
const MAX_DROPPED_BYTES: usize = 1 << 20;
/// Largest read, in bytes.
const READ_BYTES: usize = 4 << 10;

/// If bytes of `connection` are unread, reads and drops what arrives until its caller closes it. The
/// writing side must have been shut down.
pub(crate) async fn drop_unread(connection: TcpStream) {
    let Ok(mut socket) = connection.into_poll_fd() else { return };
    if has_unread(&socket) {
        let _ = timeout(DROP_TIME.into(), drop_until_closed(&mut socket)).await;
    }
}

/// Whether bytes are unread; drops some of them.
fn has_unread<S: AsFd + 'static>(socket: &PollFd<S>) -> bool
where
    for<'a> &'a S: Read,
{
    let mut bytes = [0; 1];
    let mut socket: &S = socket;
    matches!(socket.read(&mut bytes), Ok(1..))
}

async fn drop_until_closed(socket: &mut (impl futures_util::AsyncRead + Unpin)) -> io::Result<()> {
    let mut bytes = vec![0; READ_BYTES];
    let mut left = MAX_DROPPED_BYTES;
    while left > 0 {
        let length = socket.read(&mut bytes).await?;
        if length == 0 {
            break;
        }
        left = left.saturating_sub(length);
    }
    Ok(())
}
