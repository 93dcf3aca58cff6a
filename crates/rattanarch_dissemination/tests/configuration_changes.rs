//! Configuration changes that peers get in place of the whole configuration.

use rattanarch_dissemination::ConfigurationChange;
use rattanarch_dissemination::ConfigurationHistory;
use rattanarch_dissemination::ValueChange;
use rattanarch_dissemination::VersionHash;
use rattanarch_dissemination::apply_all;
use rattanarch_types::Version;
use serde_json::Value;
use serde_json::json;

/// Size of a whole configuration that no test's changes reach.
const WHOLE_SIZE: usize = 1 << 30;

fn rule(name: &str, service: &str) -> Value {
    json!({
        "name": name, "kind": "safe", "priority": 2, "target_latency": "500ms",
        "match": { "path_prefix": format!("/{name}/") },
        "action": { "service": service, "timeout": "2000ms", "max_attempts": 2 },
    })
}

fn spec(version: Version, rules: impl IntoIterator<Item = Value>) -> Value {
    let rules: Vec<Value> = rules.into_iter().collect();
    json!({
        "version": version,
        "listeners": [{ "host": "pound.example", "rules": rules }],
        "clusters": [{ "name": "desk", "sharded": true }, { "name": "files" }],
        "limits": { "idle_timeout": "5s" },
    })
}

/// A configuration of `count` routes.
fn routes(version: Version, count: usize) -> Value {
    spec(version, (0..count).map(|index| rule(&format!("r{index}"), "desk")))
}

fn base(spec: &Value) -> VersionHash {
    VersionHash::new(spec["version"].as_u64().unwrap_or_default(), spec)
}

fn change(older: &Value, newer: &Value) -> Option<ConfigurationChange> {
    ConfigurationChange::between((base(older), older), (base(newer), newer))
}

fn history(specs: &[Value]) -> ConfigurationHistory {
    let mut history = ConfigurationHistory::default();
    specs.windows(2).for_each(|pair| history.push(change(&pair[0], &pair[1])));
    history
}

fn size(what: &impl serde::Serialize) -> usize {
    serde_json::to_vec(what).unwrap_or_default().len()
}

/// Applying a change, after serialization and parsing, gives exactly the newer version, whatever operators changed.
#[test]
fn exact() {
    let older = routes(5, 20);
    let moved = |index: usize| {
        let mut rules: Vec<Value> = (0..20).map(|i| rule(&format!("r{i}"), "desk")).collect();
        let last = rules.remove(index);
        rules.insert(0, last);
        spec(6, rules)
    };
    let mut fields = routes(6, 20);
    fields["limits"] = json!({ "max_body_bytes": 9 });
    fields["clusters"] = json!([{ "name": "files", "max_connections": 4 }, { "name": "new" }]);
    fields["listeners"][0]["rules"][7]["action"] =
        json!({ "split": [{ "service": "files", "weight": 3 }], "timeout": "1s" });
    let mut no_limits = routes(6, 3);
    no_limits.as_object_mut().expect("an object").remove("limits");
    let mut hosts = routes(6, 4);
    hosts["listeners"] = json!([{ "host": "other" }, hosts["listeners"][0].clone()]);
    let duplicates =
        spec(6, [rule("a", "desk"), rule("a", "files"), rule("r1", "desk"), rule("r1", "desk")]);
    let malformed = json!({ "version": 6, "listeners": "none", "clusters": [1, null, [2]] });
    let newer = [
        routes(6, 20),
        routes(6, 31),
        routes(6, 0),
        moved(19),
        moved(3),
        fields,
        no_limits,
        hosts,
        duplicates,
        malformed,
    ];
    for newer in newer {
        let change = change(&older, &newer).expect("a later version");
        let sent = serde_json::to_string(&change).expect("serializable");
        let parsed: ConfigurationChange = serde_json::from_str(&sent).expect("valid JSON");
        assert_eq!(parsed.apply(base(&older), &older), Some(newer.clone()), "{sent}");
    }
}

/// One changed route among 1,400 takes a few hundred bytes, and 1,400 added routes less than half of the whole.
#[test]
fn small() {
    let (few, many) = (routes(5, 10), routes(6, 1_410));
    let mut weights = routes(7, 1_410);
    weights["listeners"][0]["rules"][700]["action"]["service"] = "files".into();
    let added = change(&few, &many).expect("a later version");
    assert!(size(&added) < size(&many) / 2, "{} of {}", size(&added), size(&many));
    let changed = change(&many, &weights).expect("a later version");
    assert!(size(&changed) < 500, "{}", size(&changed));
}

/// A peer with any of the last versions is brought up to date, also across gaps in the version numbers.
#[test]
fn catches_up() {
    let specs: Vec<Value> = [3, 4, 6, 9, 10].iter().map(|v| routes(*v, *v as usize)).collect();
    let history = history(&specs);
    for known in &specs[..4] {
        let changes = history.since(base(known), WHOLE_SIZE).expect("a kept version");
        let newest = apply_all(&changes, base(known), known).expect("changes that apply");
        assert_eq!(newest, (base(&specs[4]), specs[4].clone()));
    }
}

/// There are no changes for a peer that has no version, one older than the kept ones, one that never existed, the
/// newest or a later one; it gets the whole.
#[test]
fn unknown_base() {
    let specs: Vec<Value> = (3..60).map(|version| routes(version, 4)).collect();
    let history = history(&specs);
    for known in [VersionHash::default(), base(&specs[0]), base(&specs[20]), base(&specs[56])] {
        assert_eq!(history.since(known, WHOLE_SIZE), None, "{known:?}");
    }
    assert_eq!(history.since(base(&routes(90, 4)), WHOLE_SIZE), None);
    assert!(history.since(base(&specs[50]), WHOLE_SIZE).is_some());
}

/// Two different configurations under one version number: peers with the other one get the whole, and a change is
/// never applied to it.
#[test]
fn same_number() {
    let (one, other) = (routes(5, 4), spec(5, [rule("else", "files")]));
    let newer = routes(6, 5);
    let history = history(&[one.clone(), newer.clone()]);
    assert_eq!(history.since(base(&other), WHOLE_SIZE), None);
    let change = change(&one, &newer).expect("a later version");
    assert_eq!(change.apply(base(&other), &other), None);
    assert_eq!(change.apply(base(&one), &other), None, "the content does not match the base");
}

/// Operators who revert a change write a later version; a lower version number is never a change.
#[test]
fn rolled_back() {
    let (old, faulty) = (routes(5, 4), routes(6, 2));
    let back = routes(7, 4);
    let changes =
        history(&[old.clone(), faulty.clone(), back.clone()]).since(base(&old), WHOLE_SIZE);
    let newest = apply_all(&changes.expect("a kept version"), base(&old), &old);
    assert_eq!(newest, Some((base(&back), back)));
    assert_eq!(change(&faulty, &old), None);
    let mut history = history(&[old.clone(), faulty.clone()]);
    history.push(change(&faulty, &old));
    assert_eq!(history.since(base(&old), WHOLE_SIZE), None, "an unknown change clears the history");
}

/// A chain of changes with a missing, repeated or misplaced one is not applied.
#[test]
fn broken_chain() {
    let specs: Vec<Value> = (3..7).map(|version| routes(version, version as usize)).collect();
    let all = history(&specs).since(base(&specs[0]), WHOLE_SIZE).expect("a kept version");
    let apply = |changes: &[ConfigurationChange]| apply_all(changes, base(&specs[0]), &specs[0]);
    assert!(apply(&all).is_some());
    assert_eq!(apply(&[]), None);
    assert_eq!(apply(&all[1..]), None);
    assert_eq!(apply(&[all[0].clone(), all[2].clone()]), None);
    assert_eq!(apply(&[all[0].clone(), all[0].clone()]), None);
}

/// A truncated change cannot be parsed, and an altered one is not applied.
#[test]
fn corrupted() {
    let (older, newer) = (routes(5, 4), routes(6, 9));
    let sent = serde_json::to_string(&change(&older, &newer)).expect("serializable");
    for end in 0..sent.len() {
        assert!(serde_json::from_str::<ConfigurationChange>(&sent[..end]).is_err());
    }
    for (from, to) in [("r4", "q4"), ("[0,4]", "[0,3]"), ("[0,4]", "[3,4]"), (":6}", ":9}")] {
        assert!(sent.contains(from), "{from} in {sent}");
        let altered: ConfigurationChange =
            serde_json::from_str(&sent.replacen(from, to, 1)).expect("valid JSON");
        assert_eq!(altered.apply(base(&older), &older), None, "{from} for {to}");
    }
}

/// Changes whose result would be larger than any configuration are not applied.
#[test]
fn too_large() {
    let older = json!([0, 1, 2]);
    for change in
        [r#"{"l":[{"k":[0,3]},{"k":[0,18446744073709551615]}]}"#, r#"{"l":[{"k":[2,2]}]}"#]
    {
        let change: ValueChange = serde_json::from_str(change).expect("valid JSON");
        assert_eq!(change.apply(&older), None);
    }
    let many = vec![json!({ "k": [0, 3] }); 40_000];
    let change: ValueChange = serde_json::from_value(json!({ "l": many })).expect("valid JSON");
    assert_eq!(change.apply(&older), None);
}

/// The history is bounded in versions and bytes, and gives no changes that are larger than the whole.
#[test]
fn bounded() {
    let specs: Vec<Value> = (3..60).map(|version| routes(version, 4)).collect();
    let all = history(&specs);
    let kept = specs.iter().filter(|known| all.since(base(known), WHOLE_SIZE).is_some()).count();
    assert_eq!(kept, 20);
    let large = |version: Version| {
        spec(version, (0..1_500).map(|i| rule(&format!("{:x}", i * version * 7_919), "desk")))
    };
    let specs: Vec<Value> = (3..15).map(large).collect();
    let all = history(&specs);
    let known = specs.iter().filter_map(|known| all.since(base(known), WHOLE_SIZE));
    let most = known.map(|changes| size(&changes)).max().unwrap_or_default();
    assert!((1..600_000).contains(&most), "{most}");
    assert_eq!(all.since(base(&specs[0]), WHOLE_SIZE), None, "more bytes than are kept");
    let last = base(&specs[10]);
    assert!(all.since(last, WHOLE_SIZE).is_some());
    assert_eq!(all.since(last, 1_000), None);
}
