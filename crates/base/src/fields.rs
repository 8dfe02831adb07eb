//! Texts of several fields that fit into an HTTP header.

use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, percent_decode_str, utf8_percent_encode};

const SEPARATOR: char = '/';

/// Everything but letters, digits and a few marks is escaped (RFC 3986, section 2.1).
const ESCAPED: &AsciiSet =
    &NON_ALPHANUMERIC.remove(b'-').remove(b'_').remove(b'.').remove(b':').remove(b'[').remove(b']');

/// Joins fields into one ASCII text without white space.
#[must_use]
pub fn join_fields(fields: &[&str]) -> String {
    let mut text = String::new();
    for (at, field) in fields.iter().enumerate() {
        if at > 0 {
            text.push(SEPARATOR);
        }
        text.extend(utf8_percent_encode(field, ESCAPED));
    }
    text
}

/// The `N` fields of a text by [`join_fields`]; none if their number or encoding differs.
#[must_use]
pub fn split_fields<const N: usize>(text: &str) -> Option<[String; N]> {
    let decode = |field: &str| Some(percent_decode_str(field).decode_utf8().ok()?.into_owned());
    let fields: Option<Vec<String>> = text.split(SEPARATOR).map(decode).collect();
    fields?.try_into().ok()
}
