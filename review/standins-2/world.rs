//! What all stand-ins of a case share: the clock, the record, the cut, and HTTP over plain sockets.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// How a node is cut off from all runners.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum CutMode {
    /// Its connections live on, new ones are refused.
    Refuse,
    /// Its connections, old and new, carry nothing.
    Hang,
}

pub struct World {
    begun: Instant,
    record: Mutex<String>,
    /// Process id of the node that is cut off, and how.
    pub cut: Mutex<Option<(u32, CutMode)>>,
}

impl World {
    pub fn new() -> Self {
        Self { begun: Instant::now(), record: Mutex::default(), cut: Mutex::new(None) }
    }

    pub fn ms(&self) -> u64 {
        self.begun.elapsed().as_millis() as u64
    }

    /// Notes a line for the record.
    pub fn note(&self, line: &str) {
        let ms = self.ms();
        let mut record = self.record.lock().unwrap();
        let _ = writeln!(record, "{:>7.3} s  {line}", ms as f64 / 1000.0);
    }

    pub fn write_record(&self, path: &str) {
        let _ = fs::write(path, &*self.record.lock().unwrap());
    }

    pub fn cut_of(&self, owner: Option<u32>) -> Option<CutMode> {
        let cut = self.cut.lock().unwrap();
        cut.filter(|(pid, _)| Some(*pid) == owner).map(|(_, mode)| mode)
    }
}

/// The process among `pids` that holds the client's end of a connection on loopback.
pub fn find_owner(pids: &[u32], client: SocketAddr, server: SocketAddr) -> Option<u32> {
    let SocketAddr::V4(client) = client else { return None };
    let SocketAddr::V4(server) = server else { return None };
    let word = |address: &std::net::SocketAddrV4| {
        format!("{:08X}:{:04X}", u32::from_le_bytes(address.ip().octets()), address.port())
    };
    let table = fs::read_to_string("/proc/net/tcp").ok()?;
    let (own, other) = (word(&client), word(&server));
    let inode = table.lines().find_map(|line| {
        let words: Vec<&str> = line.split_whitespace().collect();
        (words.len() > 9 && words[1] == own && words[2] == other).then(|| words[9].to_owned())
    })?;
    let socket = format!("socket:[{inode}]");
    pids.iter().copied().find(|pid| {
        let Ok(files) = fs::read_dir(format!("/proc/{pid}/fd")) else { return false };
        files.flatten().any(|file| {
            fs::read_link(file.path()).is_ok_and(|target| target.as_os_str() == socket.as_str())
        })
    })
}

#[derive(Clone, Debug, Default)]
pub struct Request {
    #[allow(dead_code)]
    pub method: String,
    pub path: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// Value of a field of the query.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.path.split_once('?')?;
        query.split('&').find_map(|field| field.strip_prefix(name)?.strip_prefix('='))
    }
}

/// Reads one request with a length.
pub fn read_request(stream: &mut TcpStream) -> Option<Request> {
    let _ = stream.set_read_timeout(Some(Duration::from_secs(20)));
    let mut bytes = Vec::new();
    let mut part = [0; 8192];
    let end = loop {
        if let Some(at) = bytes.windows(4).position(|four| four == b"\r\n\r\n") {
            break at;
        }
        match stream.read(&mut part) {
            Ok(0) | Err(_) => return None,
            Ok(length) => bytes.extend_from_slice(&part[..length]),
        }
    };
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let mut lines = head.lines();
    let mut first = lines.next()?.split(' ');
    let mut request = Request {
        method: first.next()?.to_owned(),
        path: first.next()?.to_owned(),
        ..Request::default()
    };
    for line in lines {
        let (name, value) = line.split_once(':')?;
        request.headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    let length = request.header("content-length").parse().unwrap_or(0);
    request.body = bytes.split_off(end + 4);
    while request.body.len() < length {
        match stream.read(&mut part) {
            Ok(0) | Err(_) => return None,
            Ok(count) => request.body.extend_from_slice(&part[..count]),
        }
    }
    Some(request)
}

pub fn answer(stream: &mut TcpStream, status: &str, headers: &str, body: &[u8]) {
    let head = format!(
        "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    let _ = stream.write_all(&[head.as_bytes(), body].concat());
}

/// The value of a field of a flat JSON object, as text.
pub fn json_field(body: &[u8], name: &str) -> Option<String> {
    let text = String::from_utf8_lossy(body).into_owned();
    let at = text.find(&format!("\"{name}\""))? + name.len() + 2;
    let rest = text[at..].trim_start().strip_prefix(':')?.trim_start();
    if let Some(quoted) = rest.strip_prefix('"') {
        return Some(quoted[..quoted.find('"')?].to_owned());
    }
    let end = rest.find([',', '}']).unwrap_or(rest.len());
    Some(rest[..end].trim().to_owned())
}
