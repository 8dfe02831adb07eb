//! `yard-node` processes, started with the command of the deploy file.

use std::net::SocketAddr;
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http::{exchange, free_port};
use crate::store::Store;

pub const HOST: &str = "yard.example";
pub const KEY: &str = "key-of-shop";

/// A running node; it is killed when this is dropped.
pub struct Node {
    pub name: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub lookups: SocketAddr,
    folder: PathBuf,
    settings: PathBuf,
    text: String,
    child: Option<Child>,
}

impl Node {
    /// Starts a node with the bounds of the site `bench-yard`, and `drain_ms` as given.
    pub fn start(name: &str, store: &Store, drain_ms: u32) -> Result<Self, String> {
        let address = || SocketAddr::from(([127, 0, 0, 1], free_port()));
        let (callers, readiness, lookups) = (address(), address(), address());
        let (peer, metrics) = (free_port(), free_port());
        let text = format!(
            r#"{{"vm":"{name}","place":"caerdydd","store":"{}","callers":"{callers}",
"readiness":"{readiness}","lookups":"{lookups}","ip":"127.0.0.1","peer_port":{peer},
"metrics_port":{metrics},"memory_mb":110,"descriptors":4100,"link_mbps":1000.0,
"drain_ms":{drain_ms},"stop_seconds":8,"retry_ratio":0.2,"retry_window_seconds":10,
"retry_slack":54}}"#,
            store.address
        );
        let folder = std::env::temp_dir().join(format!("review-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let settings = folder.join("local.conf");
        let mut node = Self {
            name: name.into(),
            callers,
            readiness,
            lookups,
            folder,
            settings,
            text,
            child: None,
        };
        node.write_settings()?;
        node.spawn()?;
        Ok(node)
    }

    fn spawn(&mut self) -> Result<(), String> {
        let log =
            std::fs::File::create(self.folder.join("log")).map_err(|error| error.to_string())?;
        let mut command = Command::new("target/release/yard-node");
        command.arg("--settings").arg(&self.settings);
        command.stdin(Stdio::null()).stdout(log).stderr(Stdio::inherit());
        end_with_parent(&mut command);
        let child = command.spawn();
        self.child = Some(child.map_err(|error| format!("target/release/yard-node: {error}"))?);
        Ok(())
    }

    /// Replaces the settings file by one with the same settings, as a platform does: whole.
    pub fn write_settings(&self) -> Result<(), String> {
        let fresh = self.folder.join("fresh");
        std::fs::write(&fresh, &self.text).map_err(|error| error.to_string())?;
        std::fs::rename(&fresh, &self.settings).map_err(|error| error.to_string())
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Sends a signal by its name.
    pub fn signal(&self, name: &str) {
        send_signal(self.pid(), name);
    }

    /// How the process has ended, if it has.
    pub fn ended(&mut self) -> Option<String> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        Some(status.to_string())
    }

    pub fn is_ready(&self, limit: Duration) -> bool {
        let request = b"GET /api/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        exchange(self.readiness, request, limit).status == 200
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64, ...) -> i32;
}

/// Has a process killed when this one ends, however that happens.
pub fn end_with_parent(command: &mut Command) {
    const PR_SET_PDEATHSIG: i32 = 1;
    const SIGKILL: u64 = 9;
    // SAFETY: between fork and exec, only one system call is made.
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            Ok(())
        });
    }
}

/// Sends a signal to a process that the case has started.
pub fn send_signal(pid: u32, name: &str) {
    let number = match name {
        "HUP" => 1,
        "KILL" => 9,
        "TERM" => 15,
        "CONT" => 18,
        "STOP" => 19,
        _ => return,
    };
    // SAFETY: the call takes two numbers and touches no memory of this process.
    unsafe {
        kill(pid as i32, number);
    }
}

/// Waits until all nodes are ready and know each other.
pub fn wait_ready(nodes: &[Node]) -> Result<(), String> {
    let end = Instant::now() + Duration::from_secs(15);
    while Instant::now() < end {
        let known = |node: &Node| {
            node.is_ready(Duration::from_secs(1)) && resolve(node.lookups).len() == nodes.len()
        };
        if nodes.iter().all(known) {
            return Ok(());
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    Err("the nodes did not become ready".into())
}

/// The addresses that a node names to callers; none if it names none.
pub fn resolve(lookups: SocketAddr) -> Vec<SocketAddr> {
    let request = format!(
        "GET /api/resolve?name={HOST}&region=cymru&zone=caerdydd HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
    );
    let answer = exchange(lookups, request.as_bytes(), Duration::from_secs(1));
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let Some(list) = text.split('[').nth(1).and_then(|rest| rest.split(']').next()) else {
        return Vec::new();
    };
    list.split(',').filter_map(|word| word.trim().trim_matches('"').parse().ok()).collect()
}

/// A configuration with the given routes (JSON objects) and services.
pub fn config(version: u64, routes: &[String], services: &[&str]) -> String {
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            if *name == "llm" {
                r#"{"name":"llm","healthPath":"/healthz","maxConnections":222,"engine":{"slots":24,"kvCapacity":34000,"kvTokenBytes":35136,"linkMbps":5100.0,"moves":true,"backups":true,"stride":4}}"#.into()
            } else {
                format!(r#"{{"name":"{name}","healthPath":"/healthz","maxConnections":100}}"#)
            }
        })
        .collect();
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":65536,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"shop","apiKeys":["{KEY}"]}}]}}"#,
        routes.join(","),
        services.join(",")
    )
}

/// A route of the configuration.
pub fn route(prefix: &str, kind: &str, service: &str, timeout_ms: u32, attempts: u32) -> String {
    let name = format!("r{}", prefix.replace('/', "-"));
    let target = timeout_ms / 2;
    format!(
        r#"{{"name":"{name}","hostname":"{HOST}","pathPrefix":"{prefix}","routeType":"{kind}","timeoutMs":{timeout_ms},"targetLatencyMs":{target},"priority":1,"service":"{service}","maxAttempts":{attempts},"public":false}}"#
    )
}
