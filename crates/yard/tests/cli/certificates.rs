//! Certificates of `yard keys` as our processes verify them.

use std::path::Path;
use std::sync::Arc;

use rustls::RootCertStore;
use rustls::client::WebPkiServerVerifier;
use rustls::client::danger::ServerCertVerifier;
use rustls::crypto::ring::default_provider;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer, ServerName, UnixTime};
use rustls::server::WebPkiClientVerifier;

use crate::platform::run;

/// An authority of the given name, as `yard keys new-authority` writes it.
fn new_authority(name: &str) -> (String, RootCertStore) {
    let pem = run(&["keys", "new-authority"], &[]).out;
    let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&file, &pem).unwrap();
    let mut roots = RootCertStore::empty();
    roots.add(CertificateDer::from_pem_slice(pem.as_bytes()).unwrap()).unwrap();
    (file.display().to_string(), roots)
}

#[test]
fn certificates_are_good_on_both_sides_for_the_name_yard() {
    let (authority, roots) = new_authority("one.pem");
    let made = run(&["keys", "new-certificate", "--authority", &authority], &[]).out;
    let certificate = CertificateDer::from_pem_slice(made.as_bytes()).unwrap();
    assert!(PrivateKeyDer::from_pem_slice(made.as_bytes()).is_ok());
    let (roots, provider) = (Arc::new(roots), Arc::new(default_provider()));
    let client =
        WebPkiClientVerifier::builder_with_provider(Arc::clone(&roots), Arc::clone(&provider))
            .build()
            .unwrap();
    client.verify_client_cert(&certificate, &[], UnixTime::now()).unwrap();
    let server = WebPkiServerVerifier::builder_with_provider(roots, provider).build().unwrap();
    let verify = |name: &'static str| {
        let name = ServerName::try_from(name).unwrap();
        server.verify_server_cert(&certificate, &[], &name, &[], UnixTime::now())
    };
    verify("yard").unwrap();
    verify("elsewhere").unwrap_err();
}

#[test]
fn both_authorities_count_while_one_replaces_the_other() {
    let (old, mut roots) = new_authority("old.pem");
    let (new, new_roots) = new_authority("new.pem");
    let certificate = |authority: &str| {
        let made = run(&["keys", "new-certificate", "--authority", authority], &[]).out;
        CertificateDer::from_pem_slice(made.as_bytes()).unwrap()
    };
    let accepts = |roots: &RootCertStore, certificate: &CertificateDer<'_>| {
        let provider = Arc::new(default_provider());
        let verifier =
            WebPkiClientVerifier::builder_with_provider(Arc::new(roots.clone()), provider);
        let verifier = verifier.build().unwrap();
        verifier.verify_client_cert(certificate, &[], UnixTime::now()).is_ok()
    };
    let (of_old, of_new) = (certificate(&old), certificate(&new));
    assert!(accepts(&roots, &of_old) && !accepts(&roots, &of_new));
    roots.roots.extend(new_roots.roots.iter().cloned());
    assert!(accepts(&roots, &of_old) && accepts(&roots, &of_new));
    assert!(!accepts(&new_roots, &of_old));
}
