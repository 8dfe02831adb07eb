//! Certificates and keys for mutual TLS between our processes.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use compio_quic::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::server::WebPkiClientVerifier;
use rustls::{ClientConfig, RootCertStore, ServerConfig};

use crate::restart::RestartKey;
use crate::{PeerError, Result};

/// Name in the certificates of all our processes.
pub const TLS_NAME: &str = "yard";

/// A process's certificate and key, and the authorities whose certificates it accepts.
///
/// Several authorities are accepted at once, so that they can be rotated: add the new one
/// everywhere, replace the certificates, then take the old one away.
#[derive(Clone)]
pub struct PeerKeys {
    /// Certificate chain of this process, as PEM.
    pub certificate: Arc<str>,
    /// Private key of this process, as PEM.
    pub private_key: Arc<str>,
    /// Authorities, as PEM.
    pub authorities: Arc<str>,
}

impl fmt::Debug for PeerKeys {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PeerKeys(..)")
    }
}

impl PeerKeys {
    /// The TLS settings of the calling side.
    pub(crate) fn client(&self) -> Result<QuicClientConfig> {
        let config = ClientConfig::builder_with_provider(ring_provider())
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(|source| keys_error("TLS version", &source))?
            .with_root_certificates(self.roots()?)
            .with_client_auth_cert(self.chain()?, self.key()?)
            .map_err(|source| keys_error("client certificate", &source))?;
        QuicClientConfig::try_from(config).map_err(|source| keys_error("client cipher", &source))
    }

    /// The TLS settings of the serving side; a client without a certificate is refused.
    pub(crate) fn server(&self) -> Result<QuicServerConfig> {
        let verifier =
            WebPkiClientVerifier::builder_with_provider(Arc::new(self.roots()?), ring_provider())
                .build()
                .map_err(|source| keys_error("authorities", &source))?;
        let config = ServerConfig::builder_with_provider(ring_provider())
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(|source| keys_error("TLS version", &source))?
            .with_client_cert_verifier(verifier)
            .with_single_cert(self.chain()?, self.key()?)
            .map_err(|source| keys_error("server certificate", &source))?;
        QuicServerConfig::try_from(config).map_err(|source| keys_error("server cipher", &source))
    }

    /// The secret with which a restarted process resets its predecessor's connections.
    pub(crate) fn restart_key(&self, address: SocketAddr) -> RestartKey {
        RestartKey::new(self.private_key.as_bytes(), address)
    }

    fn roots(&self) -> Result<RootCertStore> {
        let mut store = RootCertStore::empty();
        for authority in CertificateDer::pem_slice_iter(self.authorities.as_bytes()) {
            let authority = authority.map_err(|source| keys_error("authority", &source))?;
            store.add(authority).map_err(|source| keys_error("authority", &source))?;
        }
        if store.is_empty() {
            return Err(keys_error("authorities", &"none given"));
        }
        Ok(store)
    }

    fn chain(&self) -> Result<Vec<CertificateDer<'static>>> {
        CertificateDer::pem_slice_iter(self.certificate.as_bytes())
            .collect::<std::result::Result<_, _>>()
            .map_err(|source| keys_error("certificate", &source))
    }

    fn key(&self) -> Result<PrivateKeyDer<'static>> {
        PrivateKeyDer::from_pem_slice(self.private_key.as_bytes())
            .map_err(|source| keys_error("private key", &source))
    }
}

fn ring_provider() -> Arc<rustls::crypto::CryptoProvider> {
    Arc::new(rustls::crypto::ring::default_provider())
}

fn keys_error(step: &'static str, source: &impl fmt::Display) -> PeerError {
    PeerError::Keys { step, reason: source.to_string() }
}
