//! The nodes of a case: the program of the deploy file, with settings like those of its template.

use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

pub struct Node {
    pub child: Child,
    pub callers: SocketAddr,
    lookups: SocketAddr,
    readiness: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
}

fn free_port(ip: &str) -> SocketAddr {
    let listener = TcpListener::bind(format!("{ip}:0")).expect("a free port");
    listener.local_addr().expect("an address")
}

impl Node {
    /// Starts node `number` at an address of its own; its files are in `folder`.
    pub fn start(folder: &Path, number: usize, store: SocketAddr) -> Self {
        Self::start_in(folder, number, store, "caerdydd")
    }

    pub fn start_in(folder: &Path, number: usize, store: SocketAddr, zone: &str) -> Self {
        let ip = format!("127.0.0.{}", number + 2);
        let ports: Vec<SocketAddr> = (0..5).map(|_| free_port(&ip)).collect();
        let settings = folder.join(format!("node-{number}.jsonc"));
        let text = format!(
            r#"{{"vm": "edge-{zone}-{number}", "place": "{zone}", "store": "{store}", "callers": "{}",
"readiness": "{}", "lookups": "{}", "ip": "{ip}", "peer_port": {}, "metrics_port": {}, "memory_mb": 110,
"descriptors": 4100, "link_mbps": 1000.0, "drain_ms": 2000, "stop_seconds": 8, "retry_ratio": 0.2,
"retry_window_seconds": 10, "retry_slack": 54}}"#,
            ports[0],
            ports[1],
            ports[2],
            ports[3].port(),
            ports[4].port()
        );
        fs::write(&settings, text).expect("the settings file");
        let log = folder.join(format!("node-{number}.log"));
        let child = start_program(&settings, &log);
        let (callers, readiness, lookups) = (ports[0], ports[1], ports[2]);
        Self { child, callers, lookups, readiness, settings, log }
    }

    /// Starts the process again, with the same settings.
    pub fn start_again(&mut self) {
        self.end();
        self.child = start_program(&self.settings, &self.log);
    }

    /// Whether the node is ready, and tells clients of `count` nodes.
    fn is_up(&self, count: usize) -> bool {
        let path = "/api/resolve?name=yard.example&region=cymru&zone=caerdydd";
        let found = get(self.lookups, path).matches("127.0.0.").count();
        get(self.readiness, "/api/readyz").starts_with("HTTP/1.1 200") && found >= count
    }

    pub fn end(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn start_program(settings: &Path, log: &Path) -> Child {
    let log = File::options().create(true).append(true).open(log).expect("a log file");
    let mut command = Command::new("target/release/yard-node");
    command.arg("--settings").arg(settings).stdin(Stdio::null());
    command.stdout(log.try_clone().expect("a log file")).stderr(log);
    command.spawn().expect("the program of the deploy file")
}

/// The answer to a GET, as text; empty without one.
pub fn get(address: SocketAddr, path: &str) -> String {
    let limit = Duration::from_millis(500);
    let Ok(mut stream) = TcpStream::connect_timeout(&address, limit) else { return String::new() };
    let _ = stream.set_read_timeout(Some(limit));
    let request = format!("GET {path} HTTP/1.1\r\nHost: yard.example\r\nConnection: close\r\n\r\n");
    let _ = stream.write_all(request.as_bytes());
    let mut bytes = Vec::new();
    let _ = stream.read_to_end(&mut bytes);
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Waits until all nodes are ready and know of each other.
pub fn wait_up(nodes: &[Node], limit: Duration) -> bool {
    let end = Instant::now() + limit;
    while !nodes.iter().all(|node| node.is_up(nodes.len())) {
        if Instant::now() > end {
            return false;
        }
        thread::sleep(Duration::from_millis(100));
    }
    true
}
