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
}

impl EndlessBytes {
    /// All of them.
    pub const ALL: [Self; 5] =
        [Self::Start, Self::Header, Self::Body, Self::ChunkedBody, Self::Interim];

    /// Writes until the peer closes; `signed` are the headers of a sound answer.
    pub(super) async fn write_to(self, stream: &mut TcpStream, signed: &str) {
        let head = format!("HTTP/1.1 200 OK\r\n{signed}");
        let (begin, part) = match self {
            Self::Start => (String::new(), filler(CHUNK_BYTES)),
            Self::Header => (format!("{head}X-Endless: "), filler(CHUNK_BYTES)),
            Self::Body => (format!("{head}\r\n"), filler(CHUNK_BYTES)),
            Self::ChunkedBody => {
                let chunk = format!("{CHUNK_BYTES:x}\r\n{}\r\n", filler(CHUNK_BYTES));
                (format!("{head}Transfer-Encoding: chunked\r\n\r\n"), chunk)
            }
            Self::Interim => (String::new(), "HTTP/1.1 100 Continue\r\n\r\n".repeat(1_000)),
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
