//! The HTTP server for operators.

mod operator_support;

use std::sync::Arc;

use operator_support::FakePlatform;
use operator_support::new_api;
use rattanarchd::operator::Access;
use rattanarchd::operator::Server;
use rattanarchd::process::OperatorSettings;
use rattanarchd::version::View;
use rattanarchd::version::Views;
use serde_json::Value;
use serde_json::json;
use sha2::Digest;
use sha2::Sha256;

fn operator_settings(name: &str, token: &str) -> OperatorSettings {
    let digest = Sha256::digest(token.as_bytes());
    let token_sha256 = digest.iter().map(|byte| format!("{byte:02x}")).collect();
    OperatorSettings { name: name.into(), firm: Some("coop".into()), token_sha256 }
}

fn start(operators: &[OperatorSettings], views: &Views) -> (FakePlatform, Server) {
    let platform = FakePlatform::start();
    let api = Arc::new(new_api(&platform, "coop", "trade-desk", views));
    let address = "127.0.0.1:0".parse().expect("an address");
    let server = Server::start(address, Access::new(operators), api).expect("a free port");
    (platform, server)
}

fn send_request(
    server: &Server,
    path: &str,
    token: Option<&str>,
    body: Option<&Value>,
) -> (u16, Value) {
    let agent: ureq::Agent =
        ureq::Agent::config_builder().http_status_as_error(false).build().into();
    let url = format!("http://{}{path}", server.address());
    let response = match body {
        Some(body) => {
            let mut request = agent.post(url);
            if let Some(token) = token {
                request = request.header("authorization", format!("Bearer {token}"));
            }
            request.send_json(body)
        }
        None => agent.get(url).call(),
    };
    let mut response = response.expect("a response");
    (response.status().as_u16(), response.body_mut().read_json().expect("a JSON body"))
}

fn create_request() -> Value {
    json!({"statement": "create data-centre nordkuehl region upper-at"})
}

#[test]
fn authenticated_operator() {
    let operators = [operator_settings("berta", "token-b"), operator_settings("anna", "token-a")];
    let (platform, server) = start(&operators, &Views::default());
    let (status, response) =
        send_request(&server, "/operate", Some("token-a"), Some(&create_request()));
    assert_eq!((status, &response["outcome"]), (200, &json!("accepted")));
    assert_eq!(platform.audit_entries("coop")[0].operator, "anna");
}

#[test]
fn invalid_token() {
    let (platform, server) = start(&[operator_settings("anna", "new")], &Views::default());
    for token in [Some("old"), Some(""), None] {
        let (status, response) = send_request(&server, "/operate", token, Some(&create_request()));
        assert_eq!(status, 401);
        assert!(!response.to_string().contains("old"), "{response}");
    }
    assert_eq!(platform.version_count("coop"), 0);
}

#[test]
fn no_operators() {
    let (_fake, server) = start(&[], &Views::default());
    assert_eq!(send_request(&server, "/operate", Some(""), Some(&create_request())).0, 401);
}

#[test]
fn invalid_bodies() {
    let (_fake, server) = start(&[operator_settings("anna", "token")], &Views::default());
    let unknown = json!({"statement": "show rules", "force": true});
    let long = json!({"statement": " ".repeat(70_000)});
    assert_eq!(send_request(&server, "/operate", Some("token"), Some(&unknown)).0, 400);
    assert_eq!(send_request(&server, "/operate", Some("token"), Some(&long)).0, 400);
    let typo = json!({"statement": "show ruels"});
    let (status, response) = send_request(&server, "/operate", Some("token"), Some(&typo));
    assert_eq!((status, &response["outcome"]), (200, &json!("malformed")));
    assert_eq!((&response["column"], &response["nearest"]), (&json!(6), &json!("rules")));
}

#[test]
fn health_and_status() {
    let views = Views::default();
    let (_fake, server) = start(&[], &views);
    assert_eq!(send_request(&server, "/health", None, None).0, 200);
    let (status, state) = send_request(&server, "/status", None, None);
    assert_eq!((status, &state["instance"], &state["lease_ms"]), (200, &json!("t1"), &json!(null)));
    views.publish(View { stopping: true, ..View::default() });
    assert_eq!(send_request(&server, "/health", None, None).0, 503);
    assert_eq!(send_request(&server, "/nothing", None, None).0, 404);
}
