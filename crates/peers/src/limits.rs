//! Limits of the transport.

use std::sync::Arc;

use base::TimeSpan;
use compio_quic::{IdleTimeout, TransportConfig, VarInt};

/// Timeout of the handshake with a peer.
pub const CONNECT_LIMIT: TimeSpan = TimeSpan::seconds(2);
/// Idle timeout of a connection.
pub const IDLE_LIMIT: TimeSpan = TimeSpan::seconds(4);
/// Interval of the keep-alive packets on an idle connection.
pub const KEEP_ALIVE: TimeSpan = TimeSpan::seconds(1);
/// Time without a call after which a connection to a peer is closed.
pub const LINK_LIMIT: TimeSpan = TimeSpan::seconds(15);
/// Time for a peer to confirm the whole reply, or the close of its connection.
pub const CONFIRM_LIMIT: TimeSpan = TimeSpan::seconds(1);

/// Most connections that this process opens.
pub const MAX_LINKS: usize = 512;
/// Most connections that peers may open.
pub const MAX_CONNECTIONS: usize = 2_048;
/// Most requests that this process serves at once.
pub const MAX_REQUESTS: usize = 2_048;
/// Most requests at once on one connection.
const MAX_STREAMS: u32 = 256;

/// Flow-control window of one stream, in bytes.
const STREAM_WINDOW_BYTES: u32 = 1 << 20;
/// Flow-control window of one connection, in bytes.
const CONNECTION_WINDOW_BYTES: u32 = 4 << 20;

/// The transport's settings, the same for both sides.
pub(crate) fn transport_config() -> Arc<TransportConfig> {
    let idle = VarInt::from_u32(IDLE_LIMIT.as_millis() as u32);
    let mut config = TransportConfig::default();
    config
        .max_concurrent_bidi_streams(VarInt::from_u32(MAX_STREAMS))
        .max_concurrent_uni_streams(VarInt::from_u32(0))
        .max_idle_timeout(Some(IdleTimeout::from(idle)))
        .keep_alive_interval(Some(KEEP_ALIVE.into()))
        .stream_receive_window(VarInt::from_u32(STREAM_WINDOW_BYTES))
        .receive_window(VarInt::from_u32(CONNECTION_WINDOW_BYTES))
        .send_window(u64::from(CONNECTION_WINDOW_BYTES))
        .datagram_receive_buffer_size(None);
    Arc::new(config)
}
