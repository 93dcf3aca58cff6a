//! The daemon's settings on the platform.

use std::time::Duration;

use rattanarch_mesh::Settings;

const SETTINGS: &str = r#"
instance = "sidecar-hafenhalle-1"
data_centre = "hafenhalle"
service = "huvo11a"
upstream = "10.1.0.38:8145"
heartbeat = "870ms"
store = "10.200.1.7:8142"
bounds = ["drain=2500ms", "unheard_of=5"]
unheard_of = { nested = true }

[listen]
callers = "10.1.0.38:8147"
peers = "10.1.0.38:8146"
datagrams = "10.1.0.38:7380"
ready = "10.1.0.38:8141"
upstream = "10.1.0.38:8144"
metrics = "10.1.0.38:9464"
"#;

/// Unknown fields are ignored, and what is left out has its default.
#[test]
fn valid_settings() {
    let settings = Settings::parse(SETTINGS).expect("they are valid");
    assert_eq!(settings.heartbeat, Duration::from_millis(870));
    assert_eq!(settings.bounds().drain, Duration::from_millis(2_500));
    assert_eq!((settings.memory, settings.descriptors), (0, 0));
    assert_eq!((settings.adaptive_pace, settings.retry_schedule), (false, false));
    assert_eq!((settings.log.level.as_str(), settings.log.sample), ("info", 64));
}

/// Guards against a daemon that does not start because the platform writes the machine's memory with a fraction.
#[test]
fn machine_amounts() {
    let text = format!("memory = 256.5\ndescriptors = 4100\n{SETTINGS}");
    let settings = Settings::parse(&text).expect("they are valid");
    assert_eq!((settings.memory, settings.descriptors), (256, 4_100));
}

/// Errors name the field and what is wrong with it.
#[test]
fn named_errors() {
    for (good, bad, named) in [
        ("\"870ms\"", "\"soon\"", "heartbeat"),
        ("\"870ms\"", "\"0ms\"", "heartbeat"),
        ("\"10.1.0.38:8145\"", "\"here\"", "upstream"),
        ("service = \"huvo11a\"", "", "service"),
        ("\"huvo11a\"", "\"\"", "service"),
        ("[listen]", "memory = -1\n[listen]", "memory"),
        ("[listen]", "descriptors = nan\n[listen]", "descriptors"),
        ("[listen]", "[log]\nlevel = \"loud\"\n[listen]", "log.level"),
    ] {
        let error = Settings::parse(&SETTINGS.replace(good, bad)).expect_err(bad).to_string();
        assert!(error.contains(named), "{bad}: {error}");
    }
}

/// The template that the platform fills in names every setting that has no default.
#[test]
fn template_is_whole() {
    let template = include_str!("../../../deploy/settings.toml");
    for line in SETTINGS.lines().filter(|line| line.contains('=') && !line.contains("unheard_of ="))
    {
        let name = line.split('=').next().unwrap_or_default().trim();
        assert!(template.lines().any(|l| l.trim_start().starts_with(name)), "{name}");
    }
}
