//! Requests of clients.

use std::net::SocketAddr;
use std::time::Duration;

use crate::check::Record;
use crate::http::{Answer, exchange};
use crate::node::{HOST, KEY};

/// Sends a request and notes what came of it.
pub fn send(
    record: &Record,
    node: (&str, SocketAddr),
    method: &str,
    path: &str,
    attempt: &str,
    deadline_ms: u32,
) -> Answer {
    let request = text(method, path, attempt, deadline_ms, "");
    record.note(format!("sent {attempt} {method} {path} to {}", node.0));
    let answer =
        exchange(node.1, request.as_bytes(), Duration::from_millis(u64::from(deadline_ms)));
    record.note(format!(
        "answered {attempt}: status {} complete {} ({})",
        answer.status, answer.complete, answer.end
    ));
    answer
}

/// A request as text, with a body if it is a POST.
pub fn text(method: &str, path: &str, attempt: &str, deadline_ms: u32, more: &str) -> String {
    let body = if method == "POST" { "boots, resole, 1 pair" } else { "" };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer {KEY}\r\n\
         X-Dotterelyard-Attempt-Id: {attempt}\r\nX-Dotterelyard-Deadline-Ms: {deadline_ms}\r\n\
         {more}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}
