//! Error responses on connections for which the codec sends none, or one without a verdict.

use rattanarch_types::Verdict;

use crate::connection::caller_progress::CallerProgress;

/// Bytes of the status code in the status line of a response.
const STATUS_RANGE: std::ops::Range<usize> = 9..12;

/// Response that replaces an error response of the codec; `start` is the beginning of the codec's.
pub(crate) fn for_codec_error(start: &[u8]) -> Vec<u8> {
    let status = start.get(STATUS_RANGE).and_then(|digits| std::str::from_utf8(digits).ok());
    let text = match status {
        Some("431") => request_error("431 Request Header Fields Too Large", Verdict::NotRun),
        Some("414") => request_error("414 URI Too Long", Verdict::NotRun),
        _ => request_error("400 Bad Request", Verdict::NotRun),
    };
    text.into_bytes()
}

/// Response on a connection that ends without one; `None` if the caller awaits no response.
pub(crate) fn for_early_close(progress: &CallerProgress) -> Option<String> {
    if progress.has_sent() || !progress.has_received() {
        return None;
    }
    if progress.has_requests() {
        return Some(request_error("400 Bad Request", Verdict::MayHaveRun));
    }
    if progress.has_eof() {
        return Some(request_error("400 Bad Request", Verdict::NotRun));
    }
    Some(request_error("408 Request Timeout", Verdict::NotRun))
}

/// Response on a connection that exceeds the limit of connections.
pub(crate) fn for_connection_limit() -> String {
    let retry = "retry-after: 1\r\nrattanarch-retry-ms: 1000\r\n";
    response("503 Service Unavailable", Verdict::NotRun, retry, "connection_limit_reached")
}

fn request_error(status: &str, verdict: Verdict) -> String {
    response(status, verdict, "", "http_request_error")
}

fn response(status: &str, verdict: Verdict, fields: &str, error: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nconnection: close\r\ncontent-length: 0\r\n{fields}\
         {}: {verdict}\r\nproxy-status: rattanarch; error={error}\r\n\r\n",
        Verdict::HEADER
    )
}
