//! Which of the processes under test holds the other end of a loopback connection.
//!
//! All processes of a test connect from one address, so a link that is cut for one of them has to
//! ask the system whose connection it has accepted.

use std::fs::{read_dir, read_link};
use std::net::SocketAddr;

use rustix::net::{
    AddressFamily, RecvFlags, SendFlags, SocketFlags, SocketType, netlink, recv, sendto,
    socket_with,
};

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

/// Inode of the client's end of a connection. The system is asked for this one connection:
/// `/proc/net/tcp` lists those of the whole machine, and reading it took 5 to 30 ms of the test's
/// only thread for each connection.
fn find_inode(client: SocketAddr, listener: SocketAddr) -> Option<u32> {
    /// Type of a request for one socket, and of the answer (`SOCK_DIAG_BY_FAMILY`).
    const BY_FAMILY: u16 = 20;
    /// Flag of a request (`NLM_F_REQUEST`).
    const REQUEST: u16 = 1;
    /// Length of the request with its header.
    const REQUEST_BYTES: u32 = 72;
    /// Where the answer has the inode.
    const INODE_AT: usize = 84;
    let (SocketAddr::V4(client), SocketAddr::V4(listener)) = (client, listener) else {
        return None;
    };
    let mut request = Vec::with_capacity(REQUEST_BYTES as usize);
    request.extend(REQUEST_BYTES.to_ne_bytes());
    request.extend(BY_FAMILY.to_ne_bytes());
    request.extend(REQUEST.to_ne_bytes());
    // Sequence number and sender, which nobody reads.
    request.extend([0; 8]);
    // Family and protocol, no extensions; any state.
    request.extend([2, 6, 0, 0]);
    request.extend(u32::MAX.to_ne_bytes());
    request.extend(client.port().to_be_bytes());
    request.extend(listener.port().to_be_bytes());
    for address in [client, listener] {
        request.extend(address.ip().octets());
        request.extend([0; 12]);
    }
    // Any interface; no cookie.
    request.extend([0; 4]);
    request.extend([u8::MAX; 8]);
    let socket = socket_with(
        AddressFamily::NETLINK,
        SocketType::DGRAM,
        SocketFlags::CLOEXEC,
        Some(netlink::SOCK_DIAG),
    )
    .ok()?;
    let system = netlink::SocketAddrNetlink::new(0, 0);
    sendto(&socket, &request, SendFlags::empty(), &system).ok()?;
    let mut answer = [0_u8; 512];
    let (length, _) = recv(&socket, &mut answer, RecvFlags::DONTWAIT).ok()?;
    let answer = answer.get(..length)?;
    let kind = u16::from_ne_bytes(answer.get(4..6)?.try_into().ok()?);
    let inode = u32::from_ne_bytes(answer.get(INODE_AT..INODE_AT + 4)?.try_into().ok()?);
    (kind == BY_FAMILY).then_some(inode)
}
