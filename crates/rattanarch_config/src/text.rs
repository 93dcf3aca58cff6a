//! Formatting of names and values in the operators' language.

use std::time::Duration;

/// Whether `c` is allowed in a word without quotes.
fn is_plain(c: char) -> bool {
    c.is_ascii_alphanumeric() || "-_./:@+%".contains(c)
}

/// Formats `text` as a word, in quotes if it needs them.
///
/// ```
/// use rattanarch_config::quoted;
/// assert_eq!(quoted("tank-17"), "tank-17");
/// assert_eq!(quoted("tank 17"), "\"tank 17\"");
/// ```
pub fn quoted(text: &str) -> String {
    if !text.is_empty() && text.chars().all(is_plain) {
        return text.to_owned();
    }
    let mut quoted = String::from("\"");
    for c in text.chars() {
        match c {
            '"' | '\\' => quoted.extend(['\\', c]),
            '\n' => quoted.push_str("\\n"),
            _ => quoted.push(c),
        }
    }
    quoted.push('"');
    quoted
}

/// Formats `duration` in seconds if it has whole seconds, otherwise in milliseconds.
pub(crate) fn duration_text(duration: Duration) -> String {
    if duration.subsec_nanos() == 0 {
        return format!("{}s", duration.as_secs());
    }
    format!("{}ms", duration.as_millis())
}
