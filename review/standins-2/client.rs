//! A client that reads one stream as it comes.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

#[derive(Debug, Default, Clone)]
pub struct Seen {
    pub status: u16,
    /// Ids of the whole events, in order.
    pub ids: Vec<u64>,
    /// Whether the answer ended as complete: with its last chunk.
    pub complete: bool,
    pub text: String,
}

/// Sends a request on a stream's route and reads the answer.
pub fn read_stream(node: SocketAddr, path: &str, attempt: &str, tokens: &str, limit: Duration) -> Seen {
    let mut seen = Seen::default();
    let Ok(mut stream) = TcpStream::connect_timeout(&node, Duration::from_secs(1)) else {
        return seen;
    };
    let body = "p".repeat(600);
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: yard.example\r\nX-Dotterelyard-Attempt-Id: {attempt}\r\nX-Dotterelyard-Model: m\r\nX-Dotterelyard-Token-Count: {tokens}\r\nX-Dotterelyard-Prefix-Hash: 5c1e07a2:79,{attempt}:1381\r\nX-Dotterelyard-Deadline-Ms: {}\r\nAuthorization: Bearer key-of-shop\r\nContent-Length: {}\r\n\r\n{body}",
        limit.as_millis(),
        body.len()
    );
    if stream.write_all(request.as_bytes()).is_err() {
        return seen;
    }
    let end = Instant::now() + limit;
    let mut bytes = Vec::new();
    let mut part = [0; 4096];
    loop {
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            break;
        }
        let _ = stream.set_read_timeout(Some(left));
        match stream.read(&mut part) {
            Ok(0) | Err(_) => break,
            Ok(length) => bytes.extend_from_slice(&part[..length]),
        }
        if follow(&bytes, &mut seen) {
            break;
        }
    }
    follow(&bytes, &mut seen);
    seen
}

/// Reads what has come so far; whether the answer is complete.
fn follow(bytes: &[u8], seen: &mut Seen) -> bool {
    let Some(end) = bytes.windows(4).position(|four| four == b"\r\n\r\n") else { return false };
    let head = String::from_utf8_lossy(&bytes[..end]).to_ascii_lowercase();
    seen.status = head.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0);
    let mut rest = &bytes[end + 4..];
    let mut data = Vec::new();
    seen.complete = false;
    if head.contains("transfer-encoding: chunked") {
        while let Some(at) = rest.windows(2).position(|two| two == b"\r\n") {
            let size = String::from_utf8_lossy(&rest[..at]).into_owned();
            let Ok(size) = usize::from_str_radix(size.trim(), 16) else { break };
            if size == 0 {
                seen.complete = true;
                break;
            }
            let Some(chunk) = rest.get(at + 2..at + 2 + size) else { break };
            data.extend_from_slice(chunk);
            rest = rest.get(at + 4 + size..).unwrap_or_default();
        }
    } else {
        let length = head.lines().find_map(|line| line.strip_prefix("content-length: ")?.parse().ok());
        data.extend_from_slice(rest);
        seen.complete = length.is_some_and(|length: usize| data.len() >= length);
    }
    seen.text = String::from_utf8_lossy(&data).into_owned();
    let events = seen.text.rmatch_indices("\n\n").next().map_or("", |(at, _)| &seen.text[..at]);
    let ids = events.lines().filter_map(|line| line.strip_prefix("id:")?.trim().parse().ok());
    seen.ids = ids.collect();
    seen.complete
}
