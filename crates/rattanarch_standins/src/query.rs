//! Parses paths and query strings.

use std::str::FromStr;

/// Returns the value of a query parameter; `None` if it is missing or malformed.
pub(crate) fn parameter<T: FromStr>(query: &str, name: &str) -> Option<T> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let mut values = pairs.filter(|(key, _)| *key == name);
    values.next().and_then(|(_, value)| value.parse().ok())
}

/// Decodes percent escapes. A malformed escape is kept, and invalid UTF-8 becomes U+FFFD.
pub(crate) fn decode(path: &str) -> String {
    let bytes = path.as_bytes();
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut index = 0;
    while index < bytes.len() {
        let escape = path.get(index..index + 3).and_then(|escape| escape.strip_prefix('%'));
        match escape.and_then(|digits| u8::from_str_radix(digits, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                index += 3;
            }
            None => {
                decoded.push(bytes[index]);
                index += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
