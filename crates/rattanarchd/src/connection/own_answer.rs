//! Answers on connections where the codec gives none, or one without a verdict.

use rattanarch_types::Verdict;

use crate::connection::progress::Progress;

/// Where the status code stands in an answer's first line.
const STATUS: std::ops::Range<usize> = 9..12;

/// The answer in place of the codec's, whose bytes begin with `start`.
pub(crate) fn to_codec_error(start: &[u8]) -> Vec<u8> {
    let status = start.get(STATUS).and_then(|digits| std::str::from_utf8(digits).ok());
    let text = match status {
        Some("431") => refusal("431 Request Header Fields Too Large", Verdict::NotRun),
        Some("414") => refusal("414 URI Too Long", Verdict::NotRun),
        _ => refusal("400 Bad Request", Verdict::NotRun),
    };
    text.into_bytes()
}

/// The answer to a connection that ends without one; `None` if nobody waits for any.
pub(crate) fn to_silence(progress: &Progress) -> Option<String> {
    if progress.has_written() || !progress.has_read() {
        return None;
    }
    if progress.has_calls() {
        return Some(refusal("400 Bad Request", Verdict::MayHaveRun));
    }
    if progress.has_ended() {
        return Some(refusal("400 Bad Request", Verdict::NotRun));
    }
    Some(refusal("408 Request Timeout", Verdict::NotRun))
}

/// The answer to a connection above the bound.
pub(crate) fn to_crowd() -> String {
    let retry = "retry-after: 1\r\nrattanarch-retry-ms: 1000\r\n";
    answer("503 Service Unavailable", Verdict::NotRun, retry, "connection_limit_reached")
}

fn refusal(status: &str, verdict: Verdict) -> String {
    answer(status, verdict, "", "http_request_error")
}

fn answer(status: &str, verdict: Verdict, fields: &str, error: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nconnection: close\r\ncontent-length: 0\r\n{fields}\
         {}: {verdict}\r\nproxy-status: rattanarch; error={error}\r\n\r\n",
        Verdict::HEADER
    )
}
