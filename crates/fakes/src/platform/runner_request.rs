//! Requests as they reach a runner, read from the raw connection.

use std::collections::BTreeMap;

use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::TcpStream;

/// Bytes read at once.
const CHUNK_BYTES: usize = 16 << 10;

/// A request as a runner sees it.
#[derive(Debug, Clone, Default)]
pub struct RunnerRequest {
    /// Method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Headers, with names in lower case.
    pub headers: BTreeMap<String, String>,
    /// Body.
    pub body: Vec<u8>,
}

impl RunnerRequest {
    /// A header; empty if it is not there.
    #[must_use]
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// Whether its prompt has this part.
    #[must_use]
    pub fn has_part(&self, part: &str) -> bool {
        let parts = self.header("x-dotterelyard-prefix-hash").split(',');
        parts.filter_map(|entry| entry.split(':').next()).any(|hash| hash == part)
    }

    /// Reads one request; none if the peer leaves before it is whole.
    pub async fn read(stream: &mut TcpStream) -> Option<Self> {
        let mut bytes = Vec::new();
        let head_end = loop {
            if let Some(at) = bytes.windows(4).position(|part| part == b"\r\n\r\n") {
                break at + 4;
            }
            read_more(stream, &mut bytes).await?;
        };
        let mut request = Self::parse(std::str::from_utf8(&bytes[..head_end]).ok()?)?;
        let length: usize = request.header("content-length").parse().unwrap_or(0);
        while bytes.len() < head_end + length {
            read_more(stream, &mut bytes).await?;
        }
        request.body = bytes[head_end..head_end + length].to_vec();
        Some(request)
    }

    fn parse(head: &str) -> Option<Self> {
        let mut lines = head.split("\r\n");
        let mut start = lines.next()?.split(' ');
        let (method, path) = (start.next()?.to_owned(), start.next()?.to_owned());
        let pairs = lines.filter_map(|line| line.split_once(':'));
        let headers =
            pairs.map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()));
        Some(Self { method, path, headers: headers.collect(), body: Vec::new() })
    }
}

async fn read_more(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> Option<()> {
    let (read, chunk) = stream.read(Vec::with_capacity(CHUNK_BYTES)).await.into();
    let length = read.ok().filter(|length| *length > 0)?;
    bytes.extend_from_slice(&chunk[..length]);
    Some(())
}

/// Writes bytes; whether the peer is still there.
pub async fn write(stream: &mut TcpStream, bytes: impl Into<Vec<u8>>) -> bool {
    let (written, _) = stream.write_all(bytes.into()).await.into();
    written.is_ok()
}
