//! The transport between processes: authentication, what may have run, restarts, limits,
//! graceful stop.

mod common;

use std::cell::Cell;
use std::rc::Rc;

use base::prelude::*;
use common::relay::TestLink;
use common::{LIMIT, TestAuthority, bind, serve_text};
use kernel::{MonotonicClock, StopSignal};
use peers::{
    IDLE_LIMIT, KEEP_ALIVE, MAX_MESSAGE_BYTES, MESSAGE_VERSION, PeerEndpoint, PeerError, PeerReply,
    PeerRequest, RejectReason, decode_message, encode_message,
};

fn dump(text: &str) -> PeerReply {
    PeerReply::Dump(text.to_owned())
}

#[test]
fn a_request_gets_its_reply_over_one_kept_connection() {
    kernel::run(async {
        let authority = TestAuthority::new();
        let server = bind(&authority.own_keys()).await;
        let client = bind(&authority.own_keys()).await;
        serve_text(&server, "state");
        for _ in 0..20 {
            let reply = client.call(server.address(), PeerRequest::Dump, LIMIT).await.unwrap();
            assert_eq!(reply, dump("state"));
        }
        assert_eq!((client.links(), server.connections()), (1, 1));
    })
    .unwrap();
}

#[test]
fn strangers_are_refused_on_both_sides() {
    kernel::run(async {
        let (ours, theirs) = (TestAuthority::new(), TestAuthority::new());
        let server = bind(&ours.own_keys()).await;
        let calls = Rc::new(Cell::new(0));
        let (endpoint, seen) = (server.clone(), Rc::clone(&calls));
        kernel::spawn(async move {
            let handler = move |_: PeerRequest| {
                seen.set(seen.get() + 1);
                async { dump("secret") }
            };
            endpoint.serve(StopSignal::new(), handler).await;
        })
        .detach();

        // A certificate of another authority, which itself trusts ours.
        let stranger = bind(&theirs.keys(&[&ours])).await;
        stranger.call(server.address(), PeerRequest::Dump, LIMIT).await.unwrap_err();
        // A process that does not trust the server sends it nothing.
        let suspicious = bind(&ours.keys(&[&theirs])).await;
        let error = suspicious.call(server.address(), PeerRequest::Dump, LIMIT).await.unwrap_err();
        assert!(!error.may_have_run(), "{error}");
        assert_eq!(calls.get(), 0);
    })
    .unwrap();
}

#[test]
fn a_client_without_a_certificate_is_refused() {
    kernel::run(async {
        let authority = TestAuthority::new();
        let keys = authority.own_keys();
        let server = bind(&keys).await;
        serve_text(&server, "secret");
        let mut roots = rustls::RootCertStore::empty();
        for root in rustls_pem(&keys.authorities) {
            roots.add(root).unwrap();
        }
        let provider = std::sync::Arc::new(rustls::crypto::ring::default_provider());
        let config = rustls::ClientConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .unwrap()
            .with_root_certificates(roots)
            .with_no_client_auth();
        let crypto = compio_quic::crypto::rustls::QuicClientConfig::try_from(config).unwrap();
        let config = compio_quic::ClientConfig::new(std::sync::Arc::new(crypto));
        let client = compio_quic::Endpoint::client("127.0.0.1:0").await.unwrap();
        let connecting = client.connect(server.address(), "yard", Some(config)).unwrap();
        // TLS 1.3 lets the client finish first; the server's refusal ends the connection.
        if let Ok(connection) = connecting.await {
            connection.accept_bi().await.unwrap_err();
        }
        assert_eq!(server.requests(), 0);
    })
    .unwrap();
}

fn rustls_pem(pem: &str) -> Vec<rustls::pki_types::CertificateDer<'static>> {
    use rustls::pki_types::pem::PemObject;
    rustls::pki_types::CertificateDer::pem_slice_iter(pem.as_bytes()).map(Result::unwrap).collect()
}

#[test]
fn two_authorities_are_accepted_while_one_replaces_the_other() {
    kernel::run(async {
        let (old, new) = (TestAuthority::new(), TestAuthority::new());
        let server = bind(&old.keys(&[&old, &new])).await;
        serve_text(&server, "state");
        for keys in [old.keys(&[&old, &new]), new.keys(&[&old, &new])] {
            let client = bind(&keys).await;
            client.call(server.address(), PeerRequest::Dump, LIMIT).await.unwrap();
        }
    })
    .unwrap();
}

#[test]
fn what_was_not_sent_is_distinguished_from_what_may_have_run() {
    kernel::run(async {
        let authority = TestAuthority::new();
        let client = bind(&authority.own_keys()).await;
        let nobody = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
        let limit = TimeSpan::millis(300);
        let error =
            client.call(nobody.local_addr().unwrap(), PeerRequest::Dump, limit).await.unwrap_err();
        assert!(!error.may_have_run(), "{error}");

        // The handler saw the request and never answers; then the peer's process ends.
        let server = bind(&authority.own_keys()).await;
        let calls = serve_silence(&server);
        let address = server.address();
        let error = client.call(address, PeerRequest::Dump, limit).await.unwrap_err();
        assert!(matches!(error, PeerError::Deadline { .. }) && error.may_have_run(), "{error}");
        let (caller, seen) = (client.clone(), Rc::clone(&calls));
        let lost =
            kernel::spawn(async move { caller.call(address, PeerRequest::Dump, LIMIT).await });
        while seen.get() < 2 {
            kernel::sleep(TimeSpan::millis(1).into()).await;
        }
        server.close().await;
        let error = lost.await.unwrap().unwrap_err();
        assert!(matches!(error, PeerError::Read { .. }) && error.may_have_run(), "{error}");
        assert_eq!(calls.get(), 2, "no request was sent again");
    })
    .unwrap();
}

/// Counts requests and replies to none.
fn serve_silence(server: &PeerEndpoint) -> Rc<Cell<u32>> {
    let calls = Rc::new(Cell::new(0));
    let (endpoint, seen) = (server.clone(), Rc::clone(&calls));
    kernel::spawn(async move {
        let handler = move |_: PeerRequest| {
            seen.set(seen.get() + 1);
            std::future::pending()
        };
        endpoint.serve(StopSignal::new(), handler).await;
    })
    .detach();
    calls
}

#[test]
fn a_restarted_peer_is_noticed_and_reached() {
    kernel::run(async {
        let authority = TestAuthority::new();
        let keys = authority.own_keys();
        let (old, new) = (bind(&keys).await, bind(&keys).await);
        serve_text(&old, "old");
        serve_text(&new, "new");
        let link = TestLink::new(old.address()).await;
        let client = bind(&authority.own_keys()).await;
        client.call(link.address, PeerRequest::Dump, LIMIT).await.unwrap();

        // The address now leads to another process, which has no connections.
        link.target.set(Some(new.address()));
        let clock = MonotonicClock::new();
        let error = client.call(link.address, PeerRequest::Dump, LIMIT).await.unwrap_err();
        assert!(error.may_have_run(), "{error}");
        assert!(clock.now() < TimePoint(KEEP_ALIVE.0), "noticed by the reset, at {}", clock.now());
        let reply = client.call(link.address, PeerRequest::Dump, LIMIT).await.unwrap();
        assert_eq!(reply, dump("new"));
    })
    .unwrap();
}

#[test]
fn a_silent_link_is_lost_within_the_idle_limit() {
    kernel::run(async {
        let authority = TestAuthority::new();
        let server = bind(&authority.own_keys()).await;
        serve_text(&server, "state");
        let link = TestLink::new(server.address()).await;
        let client = bind(&authority.own_keys()).await;
        client.call(link.address, PeerRequest::Dump, LIMIT).await.unwrap();
        link.target.set(None);
        let clock = MonotonicClock::new();
        let error = client.call(link.address, PeerRequest::Dump, LIMIT).await.unwrap_err();
        assert!(matches!(error, PeerError::Read { .. }), "{error}");
        let bound = IDLE_LIMIT + KEEP_ALIVE;
        assert!(clock.now() < TimePoint(bound.0), "noticed at {}", clock.now());
        link.target.set(Some(server.address()));
        client.call(link.address, PeerRequest::Dump, LIMIT).await.unwrap();
    })
    .unwrap();
}

#[test]
fn an_oversize_request_is_refused_before_it_is_sent() {
    kernel::run(async {
        let authority = TestAuthority::new();
        let server = bind(&authority.own_keys()).await;
        serve_text(&server, "state");
        let client = bind(&authority.own_keys()).await;
        let request = PeerRequest::Call(forwarded_call(MAX_MESSAGE_BYTES));
        let error = client.call(server.address(), request, LIMIT).await.unwrap_err();
        assert!(matches!(error, PeerError::RequestTooLong { .. }), "{error}");
        assert!(!error.may_have_run());
        let request = PeerRequest::Call(forwarded_call(MAX_MESSAGE_BYTES / 4));
        client.call(server.address(), request, LIMIT).await.unwrap();
    })
    .unwrap();
}

fn forwarded_call(body_bytes: usize) -> peers::ForwardedCall {
    peers::ForwardedCall {
        workspace: "wrecsam-counter".parse().unwrap(),
        service: "bookings".parse().unwrap(),
        tag: "tag".into(),
        key: "key-1".parse().unwrap(),
        method: "POST".into(),
        path: "/bookings".into(),
        content_type: "application/json".into(),
        body: vec![0; body_bytes],
        remaining: LIMIT,
    }
}

#[test]
fn a_stop_finishes_requests_in_progress_and_rejects_later_ones() {
    kernel::run(async {
        let authority = TestAuthority::new();
        let server = bind(&authority.own_keys()).await;
        let client = bind(&authority.own_keys()).await;
        let (stop, release) = (StopSignal::new(), StopSignal::new());
        let (endpoint, raised, released) = (server.clone(), stop.clone(), release.clone());
        let serving = kernel::spawn(async move {
            let handler = move |_: PeerRequest| {
                let released = released.clone();
                async move {
                    released.wait().await;
                    dump("whole")
                }
            };
            endpoint.serve(raised, handler).await;
            endpoint.close().await;
        });
        let (caller, address) = (client.clone(), server.address());
        let first =
            kernel::spawn(async move { caller.call(address, PeerRequest::Dump, LIMIT).await });
        while server.requests() == 0 {
            kernel::sleep(TimeSpan::millis(1).into()).await;
        }
        stop.raise();
        let error = client.call(address, PeerRequest::Dump, LIMIT).await.unwrap_err();
        let reason = RejectReason::Stopping;
        assert!(matches!(error, PeerError::Rejected { reason: r, .. } if r == reason), "{error}");
        assert!(!error.may_have_run());
        release.raise();
        assert_eq!(first.await.unwrap().unwrap(), dump("whole"));
        serving.await.unwrap();
    })
    .unwrap();
}

#[test]
fn another_version_is_a_clear_error() {
    let bytes = encode_message("request", &PeerRequest::Dump).unwrap();
    assert_eq!(decode_message::<PeerRequest>("request", &bytes).unwrap(), PeerRequest::Dump);
    let later = postcard::to_stdvec(&(MESSAGE_VERSION + 1, PeerRequest::Dump)).unwrap();
    let error = decode_message::<PeerRequest>("request", &later).unwrap_err();
    insta::assert_snapshot!(error, @"request: version 2 of the messages is not known here");
}
