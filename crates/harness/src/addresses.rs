//! Loopback addresses that no other test uses at the same time.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU16, Ordering};

/// First port of the first block of a process.
const FIRST_PORT: u16 = 20_000;
/// First value of the second octet; lower ones are left to others on the machine.
const FIRST_OCTET: u32 = 16;
/// Values of the second octet.
const OCTETS: u32 = 200;

static BLOCKS: AtomicU16 = AtomicU16::new(0);

/// A block of addresses, one IP number for each machine.
///
/// The process id selects the network, so that tests in several processes do not meet; a
/// counter selects the port within the process.
#[derive(Debug, Clone, Copy)]
pub struct AddressBlock {
    second: u8,
    third: u8,
    port: u16,
}

impl AddressBlock {
    /// A block not yet used by this process.
    #[must_use]
    pub fn new() -> Self {
        let pid = std::process::id();
        let block = BLOCKS.fetch_add(1, Ordering::Relaxed);
        Self {
            second: (FIRST_OCTET + (pid >> 8) % OCTETS) as u8,
            third: (pid & 0xff) as u8,
            port: FIRST_PORT + block * 8,
        }
    }

    /// The address of service number `service` (0 to 7) on machine `machine`.
    #[must_use]
    pub fn address(&self, machine: u8, service: u16) -> SocketAddr {
        let ip = Ipv4Addr::new(127, self.second, self.third, machine);
        SocketAddr::new(IpAddr::V4(ip), self.port + service)
    }
}

impl Default for AddressBlock {
    fn default() -> Self {
        Self::new()
    }
}
