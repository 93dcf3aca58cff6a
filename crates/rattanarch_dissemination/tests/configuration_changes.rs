//! Changes of the configuration that peers get in place of the whole.

use rattanarch_dissemination::ConfigurationChange;
use rattanarch_dissemination::ConfigurationHistory;
use rattanarch_dissemination::ValueChange;
use rattanarch_dissemination::VersionHash;
use rattanarch_dissemination::apply_all;
use rattanarch_types::Version;
use serde_json::Value;
use serde_json::json;

/// Bytes that no test's changes reach.
const WHOLE: usize = 1 << 30;

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

/// Whatever operators change, the changed version is the newer one to the letter, also after it has travelled.
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
    let mut bare = routes(6, 3);
    bare.as_object_mut().expect("an object").remove("limits");
    let mut hosts = routes(6, 4);
    hosts["listeners"] = json!([{ "host": "other" }, hosts["listeners"][0].clone()]);
    let twice =
        spec(6, [rule("a", "desk"), rule("a", "files"), rule("r1", "desk"), rule("r1", "desk")]);
    let odd = json!({ "version": 6, "listeners": "none", "clusters": [1, null, [2]] });
    let newer = [
        routes(6, 20),
        routes(6, 31),
        routes(6, 0),
        moved(19),
        moved(3),
        fields,
        bare,
        hosts,
        twice,
        odd,
    ];
    for newer in newer {
        let change = change(&older, &newer).expect("a later version");
        let sent = serde_json::to_string(&change).expect("it has a form");
        let told: ConfigurationChange = serde_json::from_str(&sent).expect("it is read again");
        assert_eq!(told.apply(base(&older), &older), Some(newer.clone()), "{sent}");
    }
}

/// A route that changes among 1,400 takes a few hundred bytes, and 1,400 that are added less than half of the whole.
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

/// A peer that knows any of the last versions is brought to the newest, over a gap too.
#[test]
fn brings_up() {
    let specs: Vec<Value> = [3, 4, 6, 9, 10].iter().map(|v| routes(*v, *v as usize)).collect();
    let history = history(&specs);
    for known in &specs[..4] {
        let changes = history.since(base(known), WHOLE).expect("it is known");
        let newest = apply_all(&changes, base(known), known).expect("they fit");
        assert_eq!(newest, (base(&specs[4]), specs[4].clone()));
    }
}

/// The whole is sent to a peer that knows nothing yet, an older version than is kept, one that was never there, the
/// newest, or a later one.
#[test]
fn unknown_base() {
    let specs: Vec<Value> = (3..60).map(|version| routes(version, 4)).collect();
    let history = history(&specs);
    for known in [VersionHash::default(), base(&specs[0]), base(&specs[20]), base(&specs[56])] {
        assert_eq!(history.since(known, WHOLE), None, "{known:?}");
    }
    assert_eq!(history.since(base(&routes(90, 4)), WHOLE), None);
    assert!(history.since(base(&specs[50]), WHOLE).is_some());
}

/// Two configurations under one number: the other one's peers get the whole, and a change never makes a mixture.
#[test]
fn fork() {
    let (one, other) = (routes(5, 4), spec(5, [rule("else", "files")]));
    let newer = routes(6, 5);
    let history = history(&[one.clone(), newer.clone()]);
    assert_eq!(history.since(base(&other), WHOLE), None);
    let change = change(&one, &newer).expect("a later version");
    assert_eq!(change.apply(base(&other), &other), None);
    assert_eq!(change.apply(base(&one), &other), None, "a base that is not what it says");
}

/// Operators who take a change back write a later version; one with a lower number is no change.
#[test]
fn rolled_back() {
    let (old, bad) = (routes(5, 4), routes(6, 2));
    let back = routes(7, 4);
    let changes = history(&[old.clone(), bad.clone(), back.clone()]).since(base(&old), WHOLE);
    let newest = apply_all(&changes.expect("it is known"), base(&old), &old);
    assert_eq!(newest, Some((base(&back), back)));
    assert_eq!(change(&bad, &old), None);
    let mut history = history(&[old.clone(), bad.clone()]);
    history.push(change(&bad, &old));
    assert_eq!(history.since(base(&old), WHOLE), None, "nothing is known of what came after");
}

/// Changes that lack one, or come twice or out of order, are not taken.
#[test]
fn broken_chain() {
    let specs: Vec<Value> = (3..7).map(|version| routes(version, version as usize)).collect();
    let all = history(&specs).since(base(&specs[0]), WHOLE).expect("it is known");
    let apply = |changes: &[ConfigurationChange]| apply_all(changes, base(&specs[0]), &specs[0]);
    assert!(apply(&all).is_some());
    assert_eq!(apply(&[]), None);
    assert_eq!(apply(&all[1..]), None);
    assert_eq!(apply(&[all[0].clone(), all[2].clone()]), None);
    assert_eq!(apply(&[all[0].clone(), all[0].clone()]), None);
}

/// A change that was cut short, or altered on its way, is not read or makes nothing.
#[test]
fn spoilt() {
    let (older, newer) = (routes(5, 4), routes(6, 9));
    let sent = serde_json::to_string(&change(&older, &newer)).expect("it has a form");
    for end in 0..sent.len() {
        assert!(serde_json::from_str::<ConfigurationChange>(&sent[..end]).is_err());
    }
    for (from, to) in [("r4", "q4"), ("[0,4]", "[0,3]"), ("[0,4]", "[3,4]"), (":6}", ":9}")] {
        assert!(sent.contains(from), "{from} in {sent}");
        let altered: ConfigurationChange =
            serde_json::from_str(&sent.replacen(from, to, 1)).expect("it can be read");
        assert_eq!(altered.apply(base(&older), &older), None, "{from} for {to}");
    }
}

/// Changes that would take more memory than any configuration make nothing.
#[test]
fn too_large() {
    let older = json!([0, 1, 2]);
    for change in
        [r#"{"l":[{"k":[0,3]},{"k":[0,18446744073709551615]}]}"#, r#"{"l":[{"k":[2,2]}]}"#]
    {
        let change: ValueChange = serde_json::from_str(change).expect("it can be read");
        assert_eq!(change.apply(&older), None);
    }
    let many = vec![json!({ "k": [0, 3] }); 40_000];
    let change: ValueChange = serde_json::from_value(json!({ "l": many })).expect("it can be read");
    assert_eq!(change.apply(&older), None);
}

/// What is kept is bounded in versions and bytes, and the whole is sent where it is smaller.
#[test]
fn bounded() {
    let specs: Vec<Value> = (3..60).map(|version| routes(version, 4)).collect();
    let all = history(&specs);
    let kept = specs.iter().filter(|known| all.since(base(known), WHOLE).is_some()).count();
    assert_eq!(kept, 20);
    let large = |version: Version| {
        spec(version, (0..1_500).map(|i| rule(&format!("{:x}", i * version * 7_919), "desk")))
    };
    let specs: Vec<Value> = (3..15).map(large).collect();
    let all = history(&specs);
    let known = specs.iter().filter_map(|known| all.since(base(known), WHOLE));
    let most = known.map(|changes| size(&changes)).max().unwrap_or_default();
    assert!((1..600_000).contains(&most), "{most}");
    assert_eq!(all.since(base(&specs[0]), WHOLE), None, "more bytes than are kept");
    let last = base(&specs[10]);
    assert!(all.since(last, WHOLE).is_some());
    assert_eq!(all.since(last, 1_000), None);
}
