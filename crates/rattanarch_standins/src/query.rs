//! Reads paths and query strings.

use std::str::FromStr;

/// The value of a query parameter, if it stands there and parses.
pub(crate) fn parameter<T: FromStr>(query: &str, name: &str) -> Option<T> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let mut values = pairs.filter(|(key, _)| *key == name);
    values.next().and_then(|(_, value)| value.parse().ok())
}

/// Resolves percent escapes; a malformed escape stands for itself, a malformed character for U+FFFD.
pub(crate) fn decode(path: &str) -> String {
    let bytes = path.as_bytes();
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut at = 0;
    while at < bytes.len() {
        let escape = path.get(at..at + 3).and_then(|escape| escape.strip_prefix('%'));
        match escape.and_then(|digits| u8::from_str_radix(digits, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                at += 3;
            }
            None => {
                decoded.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
