//! Settings of `yard-entry`.

use std::net::SocketAddr;

use base::prelude::*;
use serde::Deserialize;
use serde_json::{Value, json};

use crate::layers::merge_all;
use crate::{CommonSettings, FieldCheck, SettingsSchema, SharedFields};

/// Maximum of `max_body_bytes`.
const MAX_BODY_BYTES: u64 = 256 << 20;
/// Maximum of `queue_limit`, `max_connections` and `bookings_limit`.
const MAX_COUNT: usize = 10_000_000;
/// Maximum of `linger_ms`.
const MAX_LINGER: TimeSpan = TimeSpan::seconds(600);
/// Length of a SHA-256 hash in hexadecimal.
const HASH_CHARS: usize = 64;

/// Settings of an entry process.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Settings shared with the steward.
    pub common: CommonSettings,
    /// HTTP address for callers.
    pub address: SocketAddr,
    /// UDP address for messages of other entries and stewards.
    pub peer: SocketAddr,
    /// UDP address of the steward on this machine.
    pub steward: SocketAddr,
    /// Name of the routing policy.
    pub policy: Arc<str>,
    /// Maximum number of calls that wait in this process.
    pub queue_limit: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: u64,
    /// Maximum number of concurrent caller connections.
    pub max_connections: usize,
    /// Maximum number of bookings kept in memory.
    pub bookings_limit: usize,
    /// How long a stopping entry still accepts calls from callers that have cached its address.
    #[serde(rename = "linger_ms", deserialize_with = "crate::millis::deserialize")]
    pub linger: TimeSpan,
    /// SHA-256 hash, in hexadecimal, of each operator token that grants access to the dump.
    pub operator_tokens: Vec<Arc<str>>,
}

impl SettingsSchema for EntrySettings {
    fn defaults() -> Value {
        json!({
            "policy": "product",
            "queue_limit": 10_000,
            "max_body_bytes": 4 << 20,
            "max_connections": 4_096,
            "bookings_limit": 200_000,
            "linger_ms": 17_000,
            "operator_tokens": [],
        })
    }

    fn example() -> Value {
        let own = json!({
            "address": "127.0.0.1:8000",
            "peer": "127.0.0.1:8001",
            "steward": "127.0.0.1:8002",
            "operator_tokens": ["00".repeat(32)],
        });
        merge_all(&[CommonSettings::example(), Self::defaults(), own])
    }

    fn shared_fields() -> Option<SharedFields> {
        Some(CommonSettings::SHARED)
    }

    fn check(&self, check: &mut FieldCheck) {
        self.common.check(check);
        check.require(!self.policy.is_empty(), "policy", "the name of a routing policy");
        check.require_range(self.queue_limit, "queue_limit", 1, MAX_COUNT);
        check.require_range(self.max_body_bytes, "max_body_bytes", 1, MAX_BODY_BYTES);
        check.require_range(self.max_connections, "max_connections", 1, MAX_COUNT);
        check.require_range(self.bookings_limit, "bookings_limit", 1, MAX_COUNT);
        check.require_range(self.linger.as_millis(), "linger_ms", 0, MAX_LINGER.as_millis());
        for (at, hash) in self.operator_tokens.iter().enumerate() {
            let valid = hash.len() == HASH_CHARS && hash.bytes().all(|b| b.is_ascii_hexdigit());
            let field = format!("operator_tokens[{at}]");
            check.require(valid, &field, "a SHA-256 hash of 64 hexadecimal digits");
        }
    }
}
