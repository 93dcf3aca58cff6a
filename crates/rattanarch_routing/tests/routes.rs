//! Which route a request matches and which service it goes to.

use std::time::Duration;

use rattanarch_routing::Limits;
use rattanarch_routing::RetryPolicy;
use rattanarch_routing::RouteTable;
use rattanarch_routing::Rule;
use rattanarch_routing::Target;

fn rule(host: &str, prefix: &str, name: &str) -> Rule {
    Rule {
        name: name.to_owned(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        retry_policy: RetryPolicy::Idempotent,
        targets: vec![Target { service: name.to_owned(), weight: 1 }],
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_millis(300),
        attempts: 2,
        no_auth: false,
        rank: 1,
    }
}

fn found(table: &RouteTable, host: &str, path: &str) -> Option<String> {
    table.find(host, path).map(|rule| rule.name.clone())
}

/// The longest prefix at the request's host wins; ports and case of hosts are ignored.
#[test]
fn longest_prefix() {
    let rules = vec![
        rule("a.example", "/maps/", "maps"),
        rule("a.example", "/maps/north/", "north"),
        rule("b.example", "/", "rest"),
    ];
    let table = RouteTable::new(3, rules, [], Limits::default());
    assert_eq!(found(&table, "a.example", "/maps/south").as_deref(), Some("maps"));
    assert_eq!(found(&table, "A.Example:8080", "/maps/north/1").as_deref(), Some("north"));
    assert_eq!(found(&table, "a.example", "/maps/north").as_deref(), Some("maps"));
    assert_eq!(found(&table, "a.example", "/mapsy/"), None);
    assert_eq!(found(&table, "b.example", "/anything").as_deref(), Some("rest"));
    assert_eq!(found(&table, "c.example", "/maps/"), None);
}

/// Each target gets requests in proportion to its weight; a target with weight 0 gets none.
#[test]
fn split_shares() {
    let mut split = rule("a.example", "/maps/", "maps");
    let target = |service: &str, weight| Target { service: service.to_owned(), weight };
    split.targets = vec![target("old", 90), target("none", 0), target("new", 10)];
    let draws = (0..1_000_u64).map(|step| step * (u64::MAX / 1_000));
    let services: Vec<_> = draws.filter_map(|draw| split.target(draw).cloned()).collect();
    let count = |name: &str| services.iter().filter(|service| *service == name).count();
    assert_eq!(services.len(), 1_000);
    assert!((895..=905).contains(&count("old")), "{}", count("old"));
    assert_eq!(count("none"), 0);
    split.targets = vec![target("none", 0)];
    assert_eq!(split.target(5), None);
}

/// The rule that the definition names: that of the longest prefix which ends with a slash and begins `path`.
fn by_definition<'a>(prefixes: &[&'a str], path: &str) -> Option<&'a str> {
    let matching = prefixes.iter().filter(|prefix| path.starts_with(**prefix));
    matching.max_by_key(|prefix| prefix.len()).copied()
}

/// Empty segments, prefixes of prefixes and paths that end in the middle match as the definition says.
#[test]
fn odd_paths() {
    let prefixes = ["/", "//", "/a/", "/a//", "/a//b/", "/a/b/c/", "/a/b/c//", "/\u{e4}/"];
    let paths = [
        "/",
        "//",
        "///",
        "/a",
        "/a/",
        "/a//",
        "/a//b",
        "/a//b/",
        "/a/b",
        "/a/b/",
        "/a/b/c",
        "/a/b/c/",
        "/a/b/c//d",
        "/\u{e4}/x",
        "/\u{e4}",
        "*",
        "a/b/",
        "",
    ];
    for skipped in 0..=prefixes.len() {
        let kept: Vec<_> = prefixes
            .iter()
            .enumerate()
            .filter(|(index, _)| *index != skipped)
            .map(|(_, p)| *p)
            .collect();
        let rules = kept.iter().map(|prefix| rule("a.example", prefix, prefix)).collect();
        let table = RouteTable::new(3, rules, [], Limits::default());
        assert_eq!(table.rule_count(), kept.len());
        for path in paths {
            let expected = by_definition(&kept, path);
            assert_eq!(found(&table, "a.example", path).as_deref(), expected, "{path} in {kept:?}");
        }
    }
}

/// Matching a path with many slashes takes no longer than one with few: its time does not grow with the square of the
/// path's length.
#[test]
fn slashes_hang_daemon() {
    let rules = vec![rule("a.example", "/maps/", "maps"), rule("a.example", "/", "rest")];
    let table = RouteTable::new(3, rules, [], Limits::default());
    let path = "/".repeat(16_000);
    let began = std::time::Instant::now();
    for _ in 0..100 {
        assert_eq!(found(&table, "a.example", &path).as_deref(), Some("rest"));
    }
    assert!(began.elapsed() < Duration::from_secs(1), "{:?}", began.elapsed());
}
