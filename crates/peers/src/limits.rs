//! Limits of the transport.

use std::sync::Arc;

use base::TimeSpan;
use compio_quic::{IdleTimeout, TransportConfig, VarInt};

/// Time for a connection to a peer to stand.
pub const CONNECT_LIMIT: TimeSpan = TimeSpan::seconds(2);
/// Silence after which a connection is lost.
pub const IDLE_LIMIT: TimeSpan = TimeSpan::seconds(4);
/// Time between two signs of life on a quiet connection.
pub const KEEP_ALIVE: TimeSpan = TimeSpan::seconds(1);
/// Time without a call after which a kept connection is closed.
pub const LINK_LIMIT: TimeSpan = TimeSpan::seconds(15);
/// Time for a peer to confirm that it has a whole reply, while this side stops.
pub const CONFIRM_LIMIT: TimeSpan = TimeSpan::seconds(1);

/// Kept connections that this process opened.
pub const MAX_LINKS: usize = 512;
/// Connections that peers opened.
pub const MAX_CONNECTIONS: usize = 2_048;
/// Requests that this process serves at once.
pub const MAX_REQUESTS: usize = 2_048;
/// Requests at once on one connection.
const MAX_STREAMS: u32 = 256;

/// Bytes in flight to one stream of a receiver.
const STREAM_WINDOW_BYTES: u32 = 1 << 20;
/// Bytes in flight on one connection.
const CONNECTION_WINDOW_BYTES: u32 = 4 << 20;

/// The transport's settings, which are the same on both sides.
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
