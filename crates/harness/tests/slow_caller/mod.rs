//! A caller that reads its answer slowly, and may send further requests before it has.

use std::time::Duration;

use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::{TcpSocket, TcpStream};
use compio::time::{sleep, timeout};
use harness::{HOST, KEY, NodeFleet};

/// Receive buffer of a caller, in bytes: a small part of an answer.
const RECEIVE_BYTES: u32 = 8 << 10;
/// Bytes of one read, and the pause after it.
const READ_BYTES: usize = 64 << 10;
const READ_PAUSE: Duration = Duration::from_millis(5);
/// Time in which an answer comes.
const LIMIT: Duration = Duration::from_secs(20);
/// Further requests on a connection, and their parts: more than a node reads ahead.
const FURTHER_REQUESTS: usize = 400;
const FURTHER_PARTS: usize = 4;
/// Time for such a part, and the pause before it.
const PART_PAUSE: Duration = Duration::from_millis(50);

/// What a caller asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerKind {
    Plain,
    Stream,
}

pub const KINDS: [AnswerKind; 2] = [AnswerKind::Plain, AnswerKind::Stream];

/// A request as its caller writes it.
fn request_text(kind: AnswerKind, attempt: &str, closes: bool) -> String {
    let (path, further) = match kind {
        AnswerKind::Plain => ("/book/job", ""),
        AnswerKind::Stream => {
            ("/digest/long", "X-Dotterelyard-Model: m\r\nX-Dotterelyard-Token-Count: 1000,400\r\n")
        }
    };
    let closing = if closes { "Connection: close\r\n" } else { "" };
    format!(
        "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer {KEY}\r\n\
         X-Dotterelyard-Attempt-Id: {attempt}\r\nX-Dotterelyard-Deadline-Ms: 8000\r\n\
         {further}{closing}Content-Length: 4\r\n\r\nboot"
    )
}

/// A caller that reads slowly.
pub struct SlowCaller {
    stream: TcpStream,
    kind: AnswerKind,
    bytes: Vec<u8>,
}

impl SlowCaller {
    /// Sends one request to a node.
    pub async fn send(fleet: &NodeFleet, kind: AnswerKind, attempt: &str, closes: bool) -> Self {
        let socket = TcpSocket::new_v4().await.unwrap();
        socket.set_recv_buffer_size(RECEIVE_BYTES).unwrap();
        let mut stream = socket.connect(fleet.callers(0)).await.unwrap();
        let text = request_text(kind, attempt, closes);
        stream.write_all(text.into_bytes()).await.0.unwrap();
        Self { stream, kind, bytes: Vec::new() }
    }

    /// Sends further requests in parts, before the answer to the first one is read.
    pub async fn send_further(&mut self) {
        let mut text = String::new();
        for number in 0..FURTHER_REQUESTS {
            text += &request_text(AnswerKind::Plain, &format!("f{number}"), false);
        }
        for part in text.as_bytes().chunks(text.len() / FURTHER_PARTS) {
            sleep(PART_PAUSE).await;
            // A node that reads no further bytes need not take them.
            let _ = timeout(PART_PAUSE, self.stream.write_all(part.to_vec())).await;
        }
    }

    /// Reads on to the end of the first answer; whether it is whole.
    pub async fn read_whole(&mut self) -> bool {
        timeout(LIMIT, self.read_on()).await.unwrap_or_default()
    }

    async fn read_on(&mut self) -> bool {
        while !self.is_whole() {
            let (read, bytes) = self.stream.read(Vec::with_capacity(READ_BYTES)).await.into();
            if !matches!(read, Ok(length) if length > 0) {
                eprintln!("{:?} ended after {} bytes: {read:?}", self.kind, self.bytes.len());
                return false;
            }
            self.bytes.extend(bytes);
            sleep(READ_PAUSE).await;
        }
        true
    }

    /// Whether the first answer has come to its end.
    fn is_whole(&self) -> bool {
        let Some(head) = find(&self.bytes, b"\r\n\r\n") else { return false };
        let (head, body) = self.bytes.split_at(head);
        let head = String::from_utf8_lossy(head).to_ascii_lowercase();
        if !head.starts_with("http/1.1 200") {
            return false;
        }
        match self.kind {
            AnswerKind::Stream => {
                find(&body[body.len().saturating_sub(READ_BYTES)..], b"\r\n0\r\n\r\n").is_some()
            }
            AnswerKind::Plain => {
                let length = head.split("content-length: ").nth(1).unwrap();
                let length: usize = length.split("\r\n").next().unwrap().parse().unwrap();
                body.len() >= length + 4
            }
        }
    }
}

fn find(bytes: &[u8], part: &[u8]) -> Option<usize> {
    bytes.windows(part.len()).position(|window| window == part)
}
