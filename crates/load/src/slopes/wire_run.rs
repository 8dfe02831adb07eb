//! What an exchange costs on the wire: two endpoints on loopback, mutual TLS.

use std::time::Instant;

use base::prelude::*;
use kernel::StopSignal;
use peers::{ForwardedCall, PeerEndpoint, PeerKeys, PeerReply, PeerRequest, TLS_NAME};
use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair};

/// Exchanges of one run.
const EXCHANGES: u32 = 100;
/// Pause between two exchanges: longer than acknowledgements are held back.
const PAUSE: TimeSpan = TimeSpan::millis(50);
/// Length of the headers of IP and UDP, in bytes.
const HEADER_BYTES: u64 = 28;
/// Time for one exchange.
const LIMIT: TimeSpan = TimeSpan::seconds(5);

/// Figures of exchanges of one length.
#[derive(Debug, Clone, Copy)]
pub struct WireFigures {
    /// Bytes of the request, and of the reply.
    pub message_bytes: usize,
    /// Bytes on the wire an exchange, both ways, with the headers of IP and UDP.
    pub wire_bytes: f64,
    /// Datagrams an exchange, both ways.
    pub datagrams: f64,
    /// Time of an exchange, in microseconds.
    pub micros: f64,
}

/// Measures exchanges with requests and replies of `message_bytes`.
///
/// # Errors
/// If keys, sockets or exchanges fail.
pub async fn run_wire(message_bytes: usize) -> Result<WireFigures, Box<dyn std::error::Error>> {
    let keys = bench_keys()?;
    let any = "127.0.0.1:0".parse()?;
    let server = PeerEndpoint::bind(any, &keys).await?;
    let client = PeerEndpoint::bind(any, &keys).await?;
    let address = server.address();
    kernel::spawn(async move {
        let handler =
            move |_| async move { PeerReply::Dump("x".repeat(message_bytes.saturating_sub(4))) };
        server.serve(StopSignal::new(), handler).await;
    })
    .detach();
    let call = async || client.call(address, sized_request(message_bytes), LIMIT).await;
    call().await?;
    kernel::sleep(PAUSE.into()).await;
    let before = client.traffic();
    let mut micros = 0.0;
    for _ in 0..EXCHANGES {
        let started = Instant::now();
        call().await?;
        micros += started.elapsed().as_secs_f64() * 1e6;
        kernel::sleep(PAUSE.into()).await;
    }
    let after = client.traffic();
    let datagrams = after.datagrams - before.datagrams;
    let bytes = after.bytes - before.bytes + datagrams * HEADER_BYTES;
    let each = |total: u64| total as f64 / f64::from(EXCHANGES);
    let micros = micros / f64::from(EXCHANGES);
    Ok(WireFigures { message_bytes, wire_bytes: each(bytes), datagrams: each(datagrams), micros })
}

fn sized_request(bytes: usize) -> PeerRequest {
    PeerRequest::Call(ForwardedCall {
        workspace: "w".parse().expect("a valid name"),
        service: "s".parse().expect("a valid name"),
        tag: "".into(),
        key: "k".parse().expect("a valid name"),
        method: "".into(),
        path: "".into(),
        content_type: "".into(),
        body: vec![0; bytes.saturating_sub(20)],
        remaining: LIMIT,
    })
}

fn bench_keys() -> Result<PeerKeys, rcgen::Error> {
    let mut params = CertificateParams::new(Vec::new())?;
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    let authority_key = KeyPair::generate()?;
    let authority = params.self_signed(&authority_key)?.pem();
    let issuer = Issuer::new(params, authority_key);
    let key = KeyPair::generate()?;
    let params = CertificateParams::new(vec![TLS_NAME.to_owned()])?;
    Ok(PeerKeys {
        certificate: params.signed_by(&key, &issuer)?.pem().into(),
        private_key: key.serialize_pem().into(),
        authorities: authority.into(),
    })
}
