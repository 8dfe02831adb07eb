//! Stateless resets, by which peers learn that a process restarted without their connections.
//!
//! A stateless reset (RFC 9000, section 10.3) ends a connection within a round trip. Its
//! token has to be the same after a restart of the process, so it is derived from the
//! process's private key and address. The library's default connection ids carry a hash
//! with a random key, so a restarted process would reject them and send no reset; here they
//! are plain random numbers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use compio_quic::crypto::{CryptoError, HmacKey};
use compio_quic::{ConnectionId, ConnectionIdGenerator, EndpointConfig};
use hmac::{Hmac, Mac};
use sha2::Sha256;

/// Length of an HMAC-SHA-256 signature.
const SIGNATURE_BYTES: usize = 32;
/// Length of a connection id.
const ID_BYTES: usize = 8;

/// A secret that stays the same over restarts with the same private key and address. The
/// address is part of it, so that no other process with the same key can be made to reset
/// its connections.
#[derive(Clone)]
pub(crate) struct RestartKey {
    mac: Hmac<Sha256>,
}

impl RestartKey {
    pub(crate) fn new(private_key: &[u8], address: SocketAddr) -> Self {
        let mut mac: Hmac<Sha256> =
            Hmac::new_from_slice(private_key).expect("HMAC takes keys of any length");
        mac.update(address.to_string().as_bytes());
        Self { mac }
    }

    /// The endpoint's settings that have to stay the same over a restart.
    pub(crate) fn endpoint_config(self) -> EndpointConfig {
        let mut config = EndpointConfig::new(Arc::new(self));
        config.cid_generator(|| Box::new(RandomIds));
        config
    }

    fn digest(&self, data: &[u8]) -> [u8; SIGNATURE_BYTES] {
        let mut mac = self.mac.clone();
        mac.update(data);
        mac.finalize().into_bytes().into()
    }
}

impl HmacKey for RestartKey {
    fn sign(&self, data: &[u8], signature_out: &mut [u8]) {
        signature_out.copy_from_slice(&self.digest(data));
    }

    fn signature_len(&self) -> usize {
        SIGNATURE_BYTES
    }

    fn verify(&self, data: &[u8], signature: &[u8]) -> Result<(), CryptoError> {
        let mut mac = self.mac.clone();
        mac.update(data);
        mac.verify_slice(signature).map_err(|_| CryptoError)
    }
}

struct RandomIds;

impl ConnectionIdGenerator for RandomIds {
    fn generate_cid(&mut self) -> ConnectionId {
        ConnectionId::new(&rand::random::<[u8; ID_BYTES]>())
    }

    fn cid_len(&self) -> usize {
        ID_BYTES
    }

    fn cid_lifetime(&self) -> Option<Duration> {
        None
    }
}
