//! Which of the processes under test holds the other end of a loopback connection.
//!
//! All processes of a test connect from one address, so a link that is cut for one of them has to
//! ask the system whose connection it has accepted.

use std::fs::{read_dir, read_link, read_to_string};
use std::net::SocketAddr;

/// Table of the system's IPv4 TCP connections.
const TCP_TABLE: &str = "/proc/net/tcp";

/// The process among `pids` that holds the connection from `client` to `listener`.
#[must_use]
pub fn find_owner(pids: &[u32], client: SocketAddr, listener: SocketAddr) -> Option<u32> {
    if pids.is_empty() {
        return None;
    }
    let socket = format!("socket:[{}]", find_inode(client, listener)?);
    pids.iter().copied().find(|pid| holds_socket(*pid, &socket))
}

fn holds_socket(pid: u32, socket: &str) -> bool {
    let Ok(descriptors) = read_dir(format!("/proc/{pid}/fd")) else { return false };
    let mut targets = descriptors.flatten().filter_map(|entry| read_link(entry.path()).ok());
    targets.any(|target| target.as_os_str() == socket)
}

/// Inode of the client's end of a connection.
fn find_inode(client: SocketAddr, listener: SocketAddr) -> Option<String> {
    /// Columns between the two addresses of a row and its inode.
    const COLUMNS_BEFORE_INODE: usize = 6;
    let table = read_to_string(TCP_TABLE).ok()?;
    let addresses = format!(" {} {} ", table_address(client)?, table_address(listener)?);
    let at = table.find(&addresses)? + addresses.len();
    table[at..].split_whitespace().nth(COLUMNS_BEFORE_INODE).map(str::to_owned)
}

/// An address as the table writes it; `None` if it is not of IPv4.
fn table_address(address: SocketAddr) -> Option<String> {
    let SocketAddr::V4(address) = address else { return None };
    let ip = u32::from_ne_bytes(address.ip().octets());
    Some(format!("{ip:08X}:{:04X}", address.port()))
}
