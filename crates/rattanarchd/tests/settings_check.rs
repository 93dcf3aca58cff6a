//! Settings are checked whole, and errors name file, field, value and what is allowed.

use std::path::Path;

use rattanarchd::process::Settings;

const EXAMPLE: &str = include_str!("../../../config/lobster-pound-trade-desk.toml");

fn refusal(from: &str, to: &str) -> String {
    assert!(EXAMPLE.contains(from), "the example lacks {from:?}");
    let text = EXAMPLE.replacen(from, to, 1);
    let parsed = Settings::parse(Path::new("slot.toml"), &text);
    parsed.expect_err("the settings are not allowed").to_string()
}

fn assert_names(error: &str, parts: &[&str]) {
    for part in parts {
        assert!(error.contains(part), "{error:?} does not name {part:?}");
    }
}

#[test]
fn annotated_examples() {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../config");
    let files = std::fs::read_dir(directory).unwrap().map(|file| file.unwrap().path());
    let mut read = 0;
    for file in files {
        Settings::read(&file).unwrap();
        read += 1;
    }
    assert!(read >= 2, "one example for each firm");
}

#[test]
fn unknown_field() {
    let error = refusal("stop_ms = 30000", "stop_seconds = 30");
    assert_names(&error, &["slot.toml", "stop_seconds", "stop_ms"]);
}

#[test]
fn bad_address() {
    let error = refusal("caller = \"127.0.0.1:7001\"", "caller = \"hafenhalle:7001\"");
    assert_names(&error, &["slot.toml", "caller", "hafenhalle:7001", "socket address"]);
}

#[test]
fn duration_out_of_range() {
    let error = refusal("lease_ms = 1200", "lease_ms = 12000");
    assert_names(&error, &["slot.toml", "peers.lease_ms", "12000", "300 to 1500"]);
}

#[test]
fn too_many_connections() {
    let error = refusal("connections = 130", "connections = 131");
    assert_names(&error, &["slot.toml", "upstream.connections", "131", "1 to 130"]);
}

#[test]
fn short_secret() {
    let error = refusal("change this secret, please", "short");
    assert_names(&error, &["slot.toml", "peers.secret", "5 bytes", "at least 16 bytes"]);
    assert!(!error.contains("\"short\""), "{error:?} shows the secret");
}

#[test]
fn shared_address() {
    let error = refusal("operator = \"127.0.0.1:7003\"", "operator = \"127.0.0.1:7001\"");
    assert_names(&error, &["slot.toml", "listen.operator", "127.0.0.1:7001"]);
}

#[test]
fn bad_name() {
    let error = refusal("instance = \"trade-desk-1\"", "instance = \"Trade Desk\"");
    assert_names(&error, &["slot.toml", "process.instance", "Trade Desk", "lower-case"]);
}

#[test]
fn missing_secret_file() {
    let error = refusal("secret = \"change this secret, please\"", "secret_file = \"no-such\"");
    assert_names(&error, &["no-such", "cannot be read"]);
}

#[test]
fn bad_digest() {
    let error = refusal("token_sha256 = \"2c26", "token_sha256 = \"zz26");
    assert_names(&error, &["slot.toml", "operators[0].token_sha256", "64 hexadecimal digits"]);
}
