//! Keys and endpoints for the tests of the transport.

pub mod relay;

use std::net::SocketAddr;

use base::prelude::*;
use kernel::StopSignal;
use peers::{PeerEndpoint, PeerKeys, PeerReply, PeerRequest, TLS_NAME};
use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair};

/// An authority that signs certificates for tests.
pub struct TestAuthority {
    pem: String,
    issuer: Issuer<'static, KeyPair>,
}

impl TestAuthority {
    pub fn new() -> Self {
        let mut params = CertificateParams::new(Vec::new()).unwrap();
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let key = KeyPair::generate().unwrap();
        let pem = params.self_signed(&key).unwrap().pem();
        Self { pem, issuer: Issuer::new(params, key) }
    }

    /// Keys signed by this authority that accept the authorities `accepted`.
    pub fn keys(&self, accepted: &[&TestAuthority]) -> PeerKeys {
        let key = KeyPair::generate().unwrap();
        let params = CertificateParams::new(vec![TLS_NAME.to_owned()]).unwrap();
        let certificate = params.signed_by(&key, &self.issuer).unwrap();
        let authorities: String = accepted.iter().map(|authority| authority.pem.as_str()).collect();
        PeerKeys {
            certificate: certificate.pem().into(),
            private_key: key.serialize_pem().into(),
            authorities: authorities.into(),
        }
    }

    pub fn own_keys(&self) -> PeerKeys {
        self.keys(&[self])
    }
}

pub const LIMIT: TimeSpan = TimeSpan::seconds(10);

pub fn loopback() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

pub async fn bind(keys: &PeerKeys) -> PeerEndpoint {
    PeerEndpoint::bind(loopback(), keys).await.unwrap()
}

/// Replies to all requests with a dump of `text` until the returned signal is raised.
pub fn serve_text(endpoint: &PeerEndpoint, text: &'static str) -> StopSignal {
    let stop = StopSignal::new();
    let (endpoint, raised) = (endpoint.clone(), stop.clone());
    kernel::spawn(async move {
        let handler = move |_: PeerRequest| async move { PeerReply::Dump(text.to_owned()) };
        endpoint.serve(raised, handler).await;
    })
    .detach();
    stop
}
