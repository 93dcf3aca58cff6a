//! The `explain` subcommand: output, exit status and the request sent.

mod cli_support;

use std::sync::Arc;
use std::sync::Mutex;

use cli_support::closed_url;
use cli_support::run_with;
use cli_support::silent_url;
use rattanarch_cli::Exit;
use rattanarch_cli::Options;
use rattanarch_types::ExplainedAdmission;
use rattanarch_types::ExplainedInstance;
use rattanarch_types::ExplainedLoad;
use rattanarch_types::ExplainedRefusal;
use rattanarch_types::ExplainedRoute;
use rattanarch_types::ExplainedService;
use rattanarch_types::Explanation;
use rattanarch_types::TakenOut;
use rouille::Response;

/// URLs that a fake daemon received, with their queries.
type Received = Arc<Mutex<Vec<String>>>;

/// Starts a fake daemon that gives each request the response of `respond`; returns its address and what it received.
fn daemon(respond: impl Fn() -> Response + Send + Sync + 'static) -> (String, Received) {
    let received = Received::default();
    let urls = Arc::clone(&received);
    let handler = move |request: &rouille::Request| {
        urls.lock().expect("lock the URLs").push(request.raw_url().to_owned());
        respond()
    };
    let server = rouille::Server::new("127.0.0.1:0", handler).expect("bind a free port");
    let url = format!("http://{}", server.server_addr());
    std::thread::spawn(move || server.run());
    (url, received)
}

fn explain_with(url: &str, options: Options) -> (Exit, String, String) {
    let statement = ["explain", "GET", "/stock/a"].map(str::to_owned).to_vec();
    run_with(&Options { at: vec![url.to_owned()], statement, ..options }, "")
}

fn explanation() -> Explanation {
    let refusal = ExplainedRefusal {
        status: 503,
        reason: "overloaded".to_owned(),
        retry_after_ms: Some((150, 150)),
    };
    let instance = |name: &str, own, share, excluded: Option<&str>| ExplainedInstance {
        instance: name.to_owned(),
        data_centre: "nordkuehl".to_owned(),
        address: "10.0.0.1:8146".to_owned(),
        own,
        share,
        excluded: excluded.map(str::to_owned),
        load: ExplainedLoad { slots: 4, in_flight: 9, age_ms: Some(120), ..Default::default() },
    };
    Explanation {
        instance: "files-0".to_owned(),
        data_centre: "nordkuehl".to_owned(),
        method: "GET".to_owned(),
        host: "pound.example".to_owned(),
        path: "/stock/a".to_owned(),
        configuration: 5,
        taken_out: vec![TakenOut { data_centre: "welsdepot".to_owned(), age_ms: Some(2_000) }],
        route: Some(ExplainedRoute { name: "stock".to_owned(), ..Default::default() }),
        refusal: None,
        services: vec![ExplainedService {
            service: "pound-files".to_owned(),
            share: 1.0,
            record: Some(7),
            slice: None,
            instances: vec![
                instance("files-0", true, 1.0, None),
                instance("files-1", false, 0.0, Some("leaving")),
            ],
            admission: Some(ExplainedAdmission {
                running: 4,
                waiting: 5,
                slots: 4,
                outcome: "refused".to_owned(),
                refusal: Some(refusal),
                ..Default::default()
            }),
            refusal: None,
        }],
        notes: vec!["the admission is explained".to_owned()],
    }
}

/// The text has all parts of the explanation, and `--json` prints it unchanged.
#[test]
fn explanation_printed() {
    let (url, _) = daemon(|| Response::json(&explanation()));
    let (exit, text, errors) = explain_with(&url, Options::default());
    assert_eq!((exit, errors.as_str()), (Exit::Done, ""));
    for part in [
        "GET /stock/a at pound.example, as files-0 in nordkuehl decides now\n",
        "configuration 5, data centres taken out: welsdepot (known for 2000 ms)\n",
        "service pound-files, 100 % of the requests, record 7\n",
        "4 running, 5 waiting, 4 slots",
        "refused there: 503 overloaded, Retry-After 150 ms\n",
        "note: the admission is explained\n",
    ] {
        assert!(text.contains(part), "{part:?} is not in {text}");
    }
    let line = text.lines().find(|line| line.starts_with("files-1")).expect("files-1 is listed");
    assert!(line.contains(" 0%") && line.ends_with("leaving"), "{line}");
    let (_, json, _) = explain_with(&url, Options { json: true, ..Options::default() });
    assert_eq!(serde_json::from_str::<Explanation>(&json).expect("it is JSON"), explanation());
}

/// Guards against parameters that are lost or split on the way: reserved characters arrive encoded.
#[test]
fn parameters_sent() {
    let (url, received) = daemon(|| Response::json(&explanation()));
    let options = Options {
        host: Some("pound.example".to_owned()),
        key: Some("77".to_owned()),
        header: vec!["x-a: 1&2=3+4".to_owned(), "x-b: %".to_owned()],
        ..Options::default()
    };
    assert_eq!(explain_with(&url, options).0, Exit::Done);
    let url = received.lock().expect("lock the URLs")[0].clone();
    let (path, query) = url.split_once('?').expect("there is a query");
    let parameters: Vec<&str> = query.split('&').collect();
    assert_eq!((path, parameters.len()), ("/explain", 6), "{url}");
    assert!(query.contains("1%262%3D3%2B4") || query.contains("1%262=3%2B4"), "{url}");
}

/// Guards against metrics taken for an explanation: a daemon of an older version answers 404, or every path with its
/// metrics, and both have an exit status of their own.
#[test]
fn older_daemon() {
    let (missing, _) = daemon(|| Response::text("no such path").with_status_code(404));
    let (metrics, _) = daemon(|| Response::text("rattanarch_requests{} 5"));
    for url in [missing, metrics] {
        let (exit, output, errors) = explain_with(&url, Options::default());
        assert_eq!((exit, output.as_str()), (Exit::Unsupported, ""));
        assert!(errors.contains(&url) && errors.contains("version is older"), "{errors}");
    }
}

/// Each failure has the exit status that scripts rely on, and a message.
#[test]
fn failures() {
    let (exit, _, errors) = explain_with(&closed_url(), Options::default());
    assert!(exit == Exit::Unreachable && errors.contains("no daemon could be reached"), "{errors}");
    let (exit, ..) = explain_with(&silent_url(), Options::default());
    assert_eq!(exit, Exit::Refused);
    let (url, _) = daemon(|| Response::text("malformed key").with_status_code(400));
    let (exit, _, errors) = explain_with(&url, Options::default());
    assert!(exit == Exit::Usage && errors.contains("malformed key"), "{errors}");
}

/// Guards against a command that fails because another request was explained just before, and against one that repeats
/// its request without end.
#[test]
fn too_early() {
    let too_early = || {
        let response = Response::text("another request was explained").with_status_code(429);
        response.with_additional_header("retry-after", "0.050")
    };
    let first = std::sync::atomic::AtomicBool::new(true);
    let (url, received) = daemon(move || {
        let is_first = first.swap(false, std::sync::atomic::Ordering::Relaxed);
        if is_first { too_early() } else { Response::json(&explanation()) }
    });
    let (exit, output, errors) = explain_with(&url, Options::default());
    assert_eq!((exit, errors.as_str()), (Exit::Done, ""), "{output}");
    assert_eq!(received.lock().expect("lock the URLs").len(), 2);

    let (url, received) = daemon(too_early);
    let (exit, _, errors) = explain_with(&url, Options::default());
    assert!(exit == Exit::Refused && errors.contains("429"), "{errors}");
    assert_eq!(received.lock().expect("lock the URLs").len(), 2);
}

/// Malformed command lines are refused before anything is sent, and so are credentials.
#[test]
fn malformed_arguments() {
    let (url, received) = daemon(|| Response::json(&explanation()));
    let header = |text: &str| Options { header: vec![text.to_owned()], ..Options::default() };
    for options in [
        header("no colon"),
        header("Authorization: Bearer hidden"),
        header("cookie : hidden"),
        Options { write_id: Some(3), ..Options::default() },
    ] {
        let (exit, output, errors) = explain_with(&url, options);
        assert_eq!((exit, output.as_str()), (Exit::Usage, ""));
        assert!(!errors.is_empty() && !errors.contains("hidden"), "{errors}");
    }
    for statement in [vec!["explain"], vec!["explain", "GET"], vec!["explain", "GET", "/a", "/b"]] {
        let statement = statement.into_iter().map(str::to_owned).collect();
        let options = Options { at: vec![url.clone()], statement, ..Options::default() };
        let (exit, _, errors) = run_with(&options, "");
        assert!(exit == Exit::Usage && errors.contains("usage: "), "{errors}");
    }
    let statement = vec!["show services".to_owned()];
    let key = Some("3".to_owned());
    let options = Options { at: vec![url], statement, key, ..Options::default() };
    assert_eq!(run_with(&options, "").0, Exit::Usage);
    assert!(received.lock().expect("lock the URLs").is_empty());
}
