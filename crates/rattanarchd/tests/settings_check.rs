//! Invalid settings are rejected with an error that names file, field, value and allowed values.

use std::path::Path;

use rattanarchd::process::Settings;

const EXAMPLE: &str = include_str!("../../../config/lobster-pound-trade-desk.toml");

/// Error for the example settings with `from` replaced by `to`.
fn settings_error(from: &str, to: &str) -> String {
    assert!(EXAMPLE.contains(from), "the example does not contain {from:?}");
    let text = EXAMPLE.replacen(from, to, 1);
    let parsed = Settings::parse(Path::new("slot.toml"), &text);
    parsed.expect_err("invalid settings were accepted").to_string()
}

fn assert_contains(error: &str, parts: &[&str]) {
    for part in parts {
        assert!(error.contains(part), "{error:?} does not contain {part:?}");
    }
}

#[test]
fn valid_examples() {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../config");
    let files = std::fs::read_dir(directory).unwrap().map(|file| file.unwrap().path());
    let mut count = 0;
    for file in files {
        Settings::read(&file).unwrap();
        count += 1;
    }
    assert!(count >= 2, "an example for each firm is missing");
}

#[test]
fn unknown_field() {
    let error = settings_error("stop_ms = 30000", "stop_seconds = 30");
    assert_contains(&error, &["slot.toml", "stop_seconds", "stop_ms"]);
}

#[test]
fn bad_address() {
    let error = settings_error("caller = \"127.0.0.1:7001\"", "caller = \"hafenhalle:7001\"");
    assert_contains(&error, &["slot.toml", "caller", "hafenhalle:7001", "socket address"]);
}

#[test]
fn duration_out_of_range() {
    let error = settings_error("lease_ms = 1200", "lease_ms = 12000");
    assert_contains(&error, &["slot.toml", "peers.lease_ms", "12000", "300 to 1500"]);
}

#[test]
fn too_many_connections() {
    let error = settings_error("connections = 130", "connections = 131");
    assert_contains(&error, &["slot.toml", "upstream.connections", "131", "1 to 130"]);
}

#[test]
fn short_secret() {
    let error = settings_error("change this secret, please", "short");
    assert_contains(&error, &["slot.toml", "peers.secret", "5 bytes", "at least 16 bytes"]);
    assert!(!error.contains("\"short\""), "{error:?} contains the secret");
}

#[test]
fn shared_address() {
    let error = settings_error("operator = \"127.0.0.1:7003\"", "operator = \"127.0.0.1:7001\"");
    assert_contains(&error, &["slot.toml", "listen.operator", "127.0.0.1:7001"]);
}

#[test]
fn bad_name() {
    let error = settings_error("instance = \"trade-desk-1\"", "instance = \"Trade Desk\"");
    assert_contains(&error, &["slot.toml", "process.instance", "Trade Desk", "lower-case"]);
}

#[test]
fn missing_secret_file() {
    let error =
        settings_error("secret = \"change this secret, please\"", "secret_file = \"no-such\"");
    assert_contains(&error, &["no-such", "cannot be read"]);
}

#[test]
fn bad_digest() {
    let error = settings_error("token_sha256 = \"2c26", "token_sha256 = \"zz26");
    assert_contains(&error, &["slot.toml", "operators[0].token_sha256", "64 hexadecimal digits"]);
}
