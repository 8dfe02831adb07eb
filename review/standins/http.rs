//! The little of HTTP/1.1 that the stand-ins need.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::Duration;

/// A head of a message, and the bytes that were read after it.
pub struct Head {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub rest: Vec<u8>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

/// Reads a head; `None` if the connection ends before it.
pub fn read_head(stream: &mut TcpStream) -> io::Result<Option<Head>> {
    let mut bytes = Vec::new();
    let mut buffer = [0; 8192];
    loop {
        if let Some(end) = bytes.windows(4).position(|part| part == b"\r\n\r\n") {
            let text = String::from_utf8_lossy(&bytes[..end]).into_owned();
            let mut lines = text.split("\r\n");
            let first = lines.next().unwrap_or_default().to_owned();
            let headers = lines.filter_map(|line| line.split_once(':'));
            let headers =
                headers.map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()));
            return Ok(Some(Head {
                first,
                headers: headers.collect(),
                rest: bytes[end + 4..].to_vec(),
            }));
        }
        let length = stream.read(&mut buffer)?;
        if length == 0 {
            return Ok(None);
        }
        bytes.extend_from_slice(&buffer[..length]);
    }
}

/// Reads the body of a request that has a length.
pub fn read_body(stream: &mut TcpStream, head: &Head) -> io::Result<Vec<u8>> {
    let length = head.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = head.rest.clone();
    let mut buffer = [0; 65536];
    while body.len() < length {
        let read = stream.read(&mut buffer)?;
        if read == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        body.extend_from_slice(&buffer[..read]);
    }
    Ok(body)
}

/// Method and target of a request.
pub fn request_line(head: &Head) -> (String, String) {
    let mut words = head.first.split(' ');
    let method = words.next().unwrap_or_default().to_owned();
    (method, words.next().unwrap_or_default().to_owned())
}

pub fn reply(stream: &mut TcpStream, status: &str, headers: &str, body: &[u8]) -> io::Result<()> {
    let head = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// An answer as a client sees it.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    /// 0 if there was none.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether it looks whole by the rules of HTTP.
    pub complete: bool,
    /// What ended it, for the record.
    pub end: String,
}

/// Sends `request` on a new connection and reads the answer, for at most `limit`.
pub fn exchange(peer: SocketAddr, request: &[u8], limit: Duration) -> Answer {
    let mut answer = Answer::default();
    let connected = TcpStream::connect_timeout(&peer, Duration::from_secs(1));
    let mut stream = match connected {
        Ok(stream) => stream,
        Err(error) => {
            answer.end = format!("not connected: {}", error.kind());
            return answer;
        }
    };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(limit));
    if let Err(error) = stream.write_all(request) {
        answer.end = format!("not sent: {}", error.kind());
        return answer;
    }
    read_answer(&mut stream, &mut answer);
    answer
}

/// Reads an answer.
pub fn read_answer(stream: &mut TcpStream, answer: &mut Answer) {
    let head = match read_head(stream) {
        Ok(Some(head)) => head,
        Ok(None) => {
            answer.end = "connection closed before an answer".into();
            return;
        }
        Err(error) => {
            answer.end = format!("no answer: {}", error.kind());
            return;
        }
    };
    answer.status = head.first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
    answer.headers = head.headers.clone();
    let is_chunked = head.header("transfer-encoding").is_some_and(|text| text.contains("chunked"));
    let length = head.header("content-length").and_then(|text| text.parse::<usize>().ok());
    let mut raw = head.rest;
    let mut buffer = [0; 65536];
    loop {
        if is_chunked {
            if let Some(body) = whole_chunks(&raw, &mut answer.body) {
                answer.complete = body;
                if body {
                    answer.end = "last chunk".into();
                    return;
                }
            }
        } else if length.is_some_and(|length| raw.len() >= length) {
            answer.body = raw;
            answer.complete = true;
            answer.end = "length".into();
            return;
        }
        match stream.read(&mut buffer) {
            Ok(0) => {
                answer.end = "connection closed".into();
                if !is_chunked {
                    answer.complete = length.is_none();
                    answer.body = raw;
                }
                return;
            }
            Ok(read) => raw.extend_from_slice(&buffer[..read]),
            Err(error) => {
                answer.end = format!("broken off: {}", error.kind());
                if !is_chunked {
                    answer.body = raw;
                }
                return;
            }
        }
    }
}

/// Decodes the chunks so far into `body`; whether the last one is among them.
fn whole_chunks(raw: &[u8], body: &mut Vec<u8>) -> Option<bool> {
    body.clear();
    let mut at = 0;
    loop {
        let line_end = raw[at..].windows(2).position(|part| part == b"\r\n");
        let Some(line_end) = line_end.map(|end| at + end) else { return Some(false) };
        let text = std::str::from_utf8(&raw[at..line_end]).ok()?;
        let size = usize::from_str_radix(text.split(';').next()?.trim(), 16).ok()?;
        let begin = line_end + 2;
        if size == 0 {
            return Some(raw.len() >= begin + 2);
        }
        if raw.len() < begin + size + 2 {
            return Some(false);
        }
        body.extend_from_slice(&raw[begin..begin + size]);
        at = begin + size + 2;
    }
}

/// A listener on a free loopback port.
pub fn listen() -> TcpListener {
    TcpListener::bind(("127.0.0.1", free_port())).expect("a free port")
}

/// A port that is free now, for TCP and UDP, and that no other call of this process got. It lies below
/// those that the system gives to outgoing connections.
pub fn free_port() -> u16 {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    const FIRST: u16 = 12_000;
    const COUNT: u16 = 16_000;
    let own = (std::process::id() % 16) as u16 * 1_000;
    loop {
        let port = FIRST + (own + NEXT.fetch_add(1, Ordering::SeqCst)) % COUNT;
        let is_free = TcpListener::bind(("127.0.0.1", port)).is_ok();
        if is_free && std::net::UdpSocket::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}
