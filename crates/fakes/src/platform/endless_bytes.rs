//! Bytes that are no answer and do not end until the caller closes.

use std::time::Duration;

use compio::net::TcpStream;

use super::runner_request::write;

/// Bytes written at once, and the pause after them.
const CHUNK_BYTES: usize = 64 << 10;
const CHUNK_PAUSE: Duration = Duration::from_millis(1);

/// Where the bytes that do not end stand.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndlessBytes {
    /// From the start: there is no head.
    Start,
    /// In a header of the head.
    Header,
    /// In the body, which has no length.
    Body,
    /// In a chunked body.
    ChunkedBody,
    /// Interim answers, and never a final one.
    Interim,
    /// Headers, each of them short.
    ShortHeaders,
    /// The extension of a chunk.
    ChunkExtension,
    /// Zeros before the size of a chunk.
    ChunkZeros,
    /// Trailers of a chunked body.
    Trailers,
    /// Lines of comment of a stream of events, and never an event.
    Comments,
    /// In a header of the head, byte by byte. Not one of [`Self::ALL`]: only time ends it.
    Trickle,
    /// After a whole answer. Not one of [`Self::ALL`].
    AfterAnswer,
}

impl EndlessBytes {
    /// All that are ended by their size.
    pub const ALL: [Self; 10] = [
        Self::Start,
        Self::Header,
        Self::Body,
        Self::ChunkedBody,
        Self::Interim,
        Self::ShortHeaders,
        Self::ChunkExtension,
        Self::ChunkZeros,
        Self::Trailers,
        Self::Comments,
    ];

    /// Writes until the peer closes; `signed` are the headers of a sound answer.
    pub(super) async fn write_to(self, stream: &mut TcpStream, signed: &str) {
        let head = format!("HTTP/1.1 200 OK\r\n{signed}");
        let chunked = format!("{head}Transfer-Encoding: chunked\r\n\r\n");
        let (begin, part) = match self {
            Self::Start => (String::new(), filler(CHUNK_BYTES)),
            Self::Header => (format!("{head}X-Endless: "), filler(CHUNK_BYTES)),
            Self::Body => (format!("{head}\r\n"), filler(CHUNK_BYTES)),
            Self::ChunkedBody => {
                let chunk = format!("{CHUNK_BYTES:x}\r\n{}\r\n", filler(CHUNK_BYTES));
                (chunked, chunk)
            }
            Self::Interim => (String::new(), "HTTP/1.1 100 Continue\r\n\r\n".repeat(1_000)),
            Self::ShortHeaders => (head, "X-Short: 1\r\n".repeat(1_000)),
            Self::ChunkExtension => (format!("{chunked}5;name="), filler(CHUNK_BYTES)),
            Self::ChunkZeros => (chunked, "0".repeat(CHUNK_BYTES)),
            Self::Trailers => {
                (format!("{chunked}2\r\n{{}}\r\n0\r\n"), "X-Short: 1\r\n".repeat(1_000))
            }
            Self::Trickle => (format!("{head}X-Endless: "), filler(1)),
            Self::AfterAnswer => {
                (format!("{head}Content-Length: 2\r\n\r\n{{}}"), filler(CHUNK_BYTES))
            }
            Self::Comments => (format!("{head}\r\n"), ": still here\n".repeat(1_000)),
        };
        let mut bytes = begin + &part;
        while write(stream, bytes).await {
            bytes = part.clone();
            compio::time::sleep(CHUNK_PAUSE).await;
        }
    }
}

fn filler(length: usize) -> String {
    "x".repeat(length)
}
