//! The operators' page lists every event, metric and reason.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

/// All source files below `directory`.
fn sources(directory: &Path) -> Vec<PathBuf> {
    let entries = fs::read_dir(directory).expect("a directory");
    let paths = entries.map(|entry| entry.expect("an entry").path());
    let (directories, files): (Vec<_>, Vec<_>) = paths.partition(|path| path.is_dir());
    directories.iter().flat_map(|path| sources(path)).chain(files).collect()
}

/// Quoted texts that follow `before`.
fn quoted<'a>(text: &'a str, before: &'a str) -> impl Iterator<Item = &'a str> {
    text.split(before)
        .skip(1)
        .filter_map(|rest| rest.trim_start().strip_prefix('"')?.split('"').next())
}

/// The message of a log call whose arguments begin `call`: alone, or after the fields.
fn message(call: &str) -> Option<&str> {
    let after_fields = || call.split(';').skip(1).find(|rest| rest.trim_start().starts_with('"'));
    let alone = call.trim_start();
    let text = if alone.starts_with('"') { alone } else { after_fields()?.trim_start() };
    text.split('"').nth(1)
}

/// The part of `code` after `start`, up to `end`.
fn between<'a>(code: &'a str, start: &str, end: &str) -> &'a str {
    let rest = code.split(start).nth(1).unwrap_or_else(|| panic!("no {start:?} in the code"));
    rest.split(end).next().unwrap_or(rest)
}

fn page() -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    fs::read_to_string(root.join("../../docs/OPERATIONS.md")).expect("the page")
}

fn code() -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let directories = ["src", "../rattanarch_ownership/src"];
    let files = directories.iter().flat_map(|directory| sources(&root.join(directory)));
    files.map(|path| fs::read_to_string(path).expect("a source")).collect()
}

/// Every log event is listed. It is the last argument of the log macro, or the only one.
#[test]
fn events_listed() {
    let (code, page) = (code(), page());
    let levels = ["log::info!(", "log::warn!(", "log::error!(", "log::log!("];
    let calls = levels.iter().flat_map(|level| code.split(level).skip(1));
    let events: Vec<&str> = calls.filter_map(message).collect();
    assert!(events.len() > 30, "{events:?}");
    let missing: Vec<_> = events.iter().filter(|event| !page.contains(**event)).collect();
    assert!(missing.is_empty(), "not on the page: {missing:?}");
}

/// Every metric is listed, and every listed one exists.
#[test]
fn metrics_listed() {
    let (code, page) = (code(), page());
    let named = |text: &str| -> Vec<String> {
        let names = text.split("rattanarch_").skip(1).map(|rest| {
            let end =
                rest.find(|c: char| !c.is_ascii_lowercase() && c != '_').unwrap_or(rest.len());
            format!("rattanarch_{}", &rest[..end])
        });
        names.collect()
    };
    let meters = between(&code, "//! The daemon's counters, gauges and histograms", "\n//! ");
    let metrics = quoted(meters, "(").chain(quoted(meters, "(\n"));
    let metrics: Vec<&str> = metrics.filter(|name| name.starts_with("rattanarch_")).collect();
    assert!(metrics.len() >= 20, "{metrics:?}");
    for metric in &metrics {
        assert!(page.contains(metric), "{metric} is not on the page");
    }
    for listed in named(&page) {
        assert!(metrics.contains(&listed.as_str()), "{listed} does not exist");
    }
}

/// Every reason of a refusal is listed.
#[test]
fn reasons_listed() {
    let (code, page) = (code(), page());
    let reasons = between(&code, "pub(crate) enum Reason {", "\n}");
    let names: Vec<&str> = quoted(reasons, "#[display(").collect();
    assert!(names.len() >= 16, "{names:?}");
    for name in names {
        assert!(page.contains(name), "{name} is not on the page");
    }
}

/// Every decision on a request, and every reason to give one up, is listed.
#[test]
fn decisions_listed() {
    let (code, page) = (code(), page());
    let steps = between(&code, "//! Decisions on one request.", "\n//! ");
    let decisions: Vec<&str> = quoted(steps, "=>").collect();
    let reasons = between(steps, "pub(crate) enum GiveUp", "\n}");
    let reasons: Vec<&str> = quoted(reasons, "#[display(").collect();
    assert!(decisions.len() >= 9 && reasons.len() >= 6, "{decisions:?} {reasons:?}");
    for name in decisions {
        assert!(page.contains(&format!("\n| {name} |")), "{name} is not on the page");
    }
    for name in reasons {
        assert!(page.contains(name), "{name} is not on the page");
    }
}
