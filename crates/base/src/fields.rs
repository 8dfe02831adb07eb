//! Encoding of several fields as one text that is valid in an HTTP header.

use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, percent_decode_str, utf8_percent_encode};

const SEPARATOR: char = '/';

/// Percent-encoded characters (RFC 3986, section 2.1): all but letters, digits and a few
/// punctuation marks.
const ESCAPED: &AsciiSet =
    &NON_ALPHANUMERIC.remove(b'-').remove(b'_').remove(b'.').remove(b':').remove(b'[').remove(b']');

/// Joins fields into one percent-encoded ASCII text without white space.
#[must_use]
pub fn join_fields(fields: &[&str]) -> String {
    let mut text = String::new();
    for (index, field) in fields.iter().enumerate() {
        if index > 0 {
            text.push(SEPARATOR);
        }
        text.extend(utf8_percent_encode(field, ESCAPED));
    }
    text
}

/// Splits a text made by [`join_fields`] into its `N` fields. Returns `None` if the number of
/// fields or the encoding does not match.
#[must_use]
pub fn split_fields<const N: usize>(text: &str) -> Option<[String; N]> {
    let decode = |field: &str| Some(percent_decode_str(field).decode_utf8().ok()?.into_owned());
    let fields: Option<Vec<String>> = text.split(SEPARATOR).map(decode).collect();
    fields?.try_into().ok()
}
