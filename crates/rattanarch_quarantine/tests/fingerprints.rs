//! Which requests have the same fingerprint.

use rattanarch_quarantine::Fingerprint;
use rattanarch_quarantine::RequestContent;

const CONTENT: RequestContent<'static> = RequestContent {
    service: "desk",
    method: "GET",
    host: "pound.example",
    target: "/stock/a?page=1",
    account: 7,
};

fn fingerprint(content: &RequestContent<'_>, body: &str) -> Fingerprint {
    Fingerprint::new(content, [body.as_bytes()])
}

/// The blocks that a body is held in don't matter.
#[test]
fn same_content() {
    let whole = fingerprint(&CONTENT, "a body");
    let pieces = Fingerprint::new(&CONTENT, [&b"a "[..], b"", b"bo", b"dy"]);
    assert_eq!(whole, pieces);
    assert_eq!(fingerprint(&CONTENT, ""), Fingerprint::new(&CONTENT, []));
}

/// Each part of the content counts, also where parts together have the same bytes.
#[test]
fn other_content() {
    let others = [
        RequestContent { service: "files", ..CONTENT },
        RequestContent { method: "HEAD", ..CONTENT },
        RequestContent { host: "pound.example/stock", target: "/a?page=1", ..CONTENT },
        RequestContent { target: "/stock/a?page=2", ..CONTENT },
        RequestContent { account: 8, ..CONTENT },
    ];
    let own = fingerprint(&CONTENT, "a body");
    for other in others {
        assert_ne!(own.head, fingerprint(&other, "a body").head, "{other:?}");
    }
    assert_eq!(own.head, fingerprint(&CONTENT, "another").head);
    assert_ne!(own, fingerprint(&CONTENT, "another"));
}
