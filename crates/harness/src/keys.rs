//! Keys and certificates for one stack.

use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair};

use crate::Result;

/// The DNS name that all certificates are issued for.
const TLS_NAME: &str = "yard";

/// One authority with one certificate, which all processes of a stack share.
#[derive(Debug, Clone)]
pub struct TestKeys {
    /// The authority's certificate, PEM.
    pub authority: String,
    /// The certificate, PEM.
    pub certificate: String,
    /// Its private key, PEM.
    pub private_key: String,
    /// Secret of the signing key, in hexadecimal.
    pub signing_secret: String,
}

impl TestKeys {
    /// New keys.
    ///
    /// # Errors
    /// [`crate::HarnessError::Certificate`].
    pub fn new() -> Result<Self> {
        let authority_key = KeyPair::generate()?;
        let mut params = CertificateParams::new(Vec::<String>::new())?;
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let authority = params.self_signed(&authority_key)?;
        let issuer = Issuer::from_params(&params, &authority_key);
        let key = KeyPair::generate()?;
        let certificate =
            CertificateParams::new(vec![TLS_NAME.to_owned()])?.signed_by(&key, &issuer)?;
        Ok(Self {
            authority: authority.pem(),
            certificate: certificate.pem(),
            private_key: key.serialize_pem(),
            signing_secret: "5a".repeat(32),
        })
    }
}
