//! Which of the processes under test holds the other end of a loopback connection.
//!
//! All processes of a test connect from one address, so a link that is cut for one of them has to
//! ask the system whose connection it has accepted.

use std::fs::{read_dir, read_link, read_to_string};
use std::net::SocketAddr;

/// Table of the system's IPv4 TCP connections.
const TCP_TABLE: &str = "/proc/net/tcp";

/// Whether process `pid` holds the connection from `client` to `listener`.
#[must_use]
pub fn owns_connection(pid: u32, client: SocketAddr, listener: SocketAddr) -> bool {
    let Some(inode) = find_inode(client, listener) else { return false };
    let socket = format!("socket:[{inode}]");
    let Ok(descriptors) = read_dir(format!("/proc/{pid}/fd")) else { return false };
    let targets = descriptors.flatten().filter_map(|entry| read_link(entry.path()).ok());
    targets.into_iter().any(|target| target.as_os_str() == socket.as_str())
}

/// Inode of the client's end of a connection.
fn find_inode(client: SocketAddr, listener: SocketAddr) -> Option<String> {
    let table = read_to_string(TCP_TABLE).ok()?;
    let (local, remote) = (port_suffix(client), port_suffix(listener));
    let rows = table.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
    let mut own = rows.filter(|row| {
        row.get(1).is_some_and(|address| address.ends_with(&local))
            && row.get(2).is_some_and(|address| address.ends_with(&remote))
    });
    own.find_map(|row| row.get(9).map(|inode| (*inode).to_owned()))
}

/// How the table writes the port of an address.
fn port_suffix(address: SocketAddr) -> String {
    format!(":{:04X}", address.port())
}
