//! Signing and verification with key rotation, and rejection of invalid texts and keys.

use base::{KeyId, MacError, SigningKey, SigningKeys};

fn key(id: u16, byte: u8) -> SigningKey {
    SigningKey { id: KeyId(id), secret: vec![byte; 32] }
}

#[test]
fn a_signed_text_verifies_for_its_purpose_only() {
    let keys = SigningKeys::new(vec![key(1, 7)]).unwrap();
    let text = keys.sign("cursor", "a.b.c");
    assert_eq!(keys.verify("cursor", &text), Ok("a.b.c"));
    assert_eq!(keys.verify("home", &text), Err(MacError::WrongSignature));
}

#[test]
fn keys_rotate_by_id() {
    let old = SigningKeys::new(vec![key(1, 7)]).unwrap();
    let both = SigningKeys::new(vec![key(2, 8), key(1, 7)]).unwrap();
    let new = SigningKeys::new(vec![key(2, 8)]).unwrap();
    let text = old.sign("home", "payload");
    assert_eq!(both.verify("home", &text), Ok("payload"));
    assert_eq!(new.verify("home", &text), Err(MacError::UnknownKey(KeyId(1))));
    assert_eq!(old.verify("home", &both.sign("home", "x")), Err(MacError::UnknownKey(KeyId(2))));
}

#[test]
fn malformed_texts_and_short_keys_are_rejected() {
    let keys = SigningKeys::new(vec![key(1, 7)]).unwrap();
    for text in ["", "a", "a.1", "a.1.", "a.1.zz", "a.1.éé", "a.x.00"] {
        assert!(keys.verify("home", text).is_err(), "{text}");
    }
    let weak = SigningKey { id: KeyId(3), secret: vec![1; 4] };
    assert_eq!(SigningKeys::new(vec![weak]).unwrap_err(), MacError::ShortKey(KeyId(3)));
}
