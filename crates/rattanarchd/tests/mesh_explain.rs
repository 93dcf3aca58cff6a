//! The command that explains a request, against daemons on the platform.

mod mesh_support;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use mesh_support::Site;
use mesh_support::wait_until;
use rattanarch_adapter_standins::DESK;
use rattanarch_adapter_standins::FILES;
use rattanarch_adapter_standins::HOST;
use rattanarch_cli::Exit;
use rattanarch_cli::Options;
use rattanarch_types::ExplainedInstance;
use rattanarch_types::Explanation;
use serde_json::json;

/// Runs the command against the daemon with the metrics address `metrics`; returns its exit status, output and errors.
fn run(metrics: SocketAddr, path: &str, options: Options) -> (Exit, String, String) {
    let statement = ["explain", "GET", path].map(str::to_owned).to_vec();
    let options = Options { at: vec![format!("http://{metrics}")], statement, ..options };
    let (mut output, mut errors) = (Vec::new(), Vec::new());
    let exit = rattanarch_cli::run(&options, &mut &b""[..], &mut output, &mut errors);
    let text = |bytes| String::from_utf8(bytes).expect("the output is text");
    (exit, text(output), text(errors))
}

/// Has the daemon at the index `daemon` explain a GET request for `path` with `key`.
fn explain(site: &Site, daemon: usize, path: &str, key: Option<u16>) -> Explanation {
    let header = vec!["x-deadline-ms: 4000".to_owned()];
    let key = key.map(|key| key.to_string());
    let options = Options { json: true, key, header, ..Options::default() };
    let (exit, output, errors) = run(site.daemons[daemon].addresses.metrics, path, options);
    assert_eq!((exit, errors.as_str()), (Exit::Done, ""), "{output}");
    serde_json::from_str(&output).expect("the output is an explanation")
}

/// The instances that get requests by `explanation`, with their shares.
fn chosen(explanation: &Explanation) -> Vec<(&str, f64)> {
    let instances = explanation.services.iter().flat_map(|service| &service.instances);
    let chosen = instances.filter(|instance| instance.share > 0.0);
    chosen.map(|instance| (instance.instance.as_str(), instance.share)).collect()
}

/// The instance whose upstream ran the request `id`. The site's first `desks` upstreams are of the service with keys.
fn ran_at(site: &Site, id: &str, desks: usize) -> String {
    let ran = |index: &usize| site.upstreams[*index].runs().iter().any(|run| run.id == id);
    let index = (0..site.upstreams.len()).find(ran).expect("the request ran");
    if index < desks { format!("desk-{index}") } else { format!("files-{}", index - desks) }
}

/// Counters of requests, admissions and refusals of all daemons.
fn counters(site: &Site) -> BTreeMap<String, String> {
    let names = [
        "rattanarch_requests",
        "rattanarch_admitted",
        "rattanarch_repeats",
        "rattanarch_retry_times",
    ];
    let metrics = (0..site.daemons.len()).flat_map(|daemon| {
        let metrics = site.metrics(daemon);
        let counted =
            metrics.lines().filter(|line| names.iter().any(|name| line.starts_with(name)));
        let counted: Vec<_> = counted.map(|line| format!("{daemon} {line}")).collect();
        counted
    });
    let pairs = metrics.filter_map(|line| {
        line.rsplit_once(' ').map(|(name, value)| (name.to_owned(), value.to_owned()))
    });
    pairs.collect()
}

/// Guards against an explanation that names another owner than real requests are sent to, and one that counts as a
/// request: the next request for each of several keys runs where the command said, and no explanation changes a counter.
#[test]
fn key_explained() {
    let site = Site::start(3, 0);
    let mut owners = Vec::new();
    for (index, key) in (0..=u16::MAX).step_by(4_001).enumerate() {
        let daemon = index % 3;
        let before = counters(&site);
        let explanation = explain(&site, daemon, "/stock/crayfish", Some(key));
        assert_eq!(counters(&site), before);
        let owner = match chosen(&explanation)[..] {
            [(owner, 1.0)] => owner.to_owned(),
            _ => panic!("not one owner: {explanation:?}"),
        };
        let service = &explanation.services[0];
        assert_eq!((service.service.as_str(), service.slice), (DESK, Some(key >> 4)));
        assert_eq!(service.admission.is_some(), owner == format!("desk-{daemon}"));
        if let Some(admission) = &service.admission {
            assert_eq!(admission.outcome, "starts", "{explanation:?}");
        }
        let id = format!("k{index}");
        assert_eq!(site.get(daemon, "/stock/crayfish", &id, key).status, 200);
        assert_eq!(ran_at(&site, &id, 3), owner);
        owners.push(owner);
    }
    owners.sort();
    owners.dedup();
    assert_eq!(owners.len(), 3, "the keys have few owners: {owners:?}");
    let explanation = explain(&site, 0, "/stock/crayfish?amount=7", Some(1));
    assert_eq!((explanation.configuration, explanation.host.as_str()), (5, HOST));
    let route = explanation.route.expect("there is a route");
    assert_eq!((route.name.as_str(), route.rank, route.objective_ms), ("stock", 2, 500));
    assert_eq!(explanation.path, "/stock/crayfish", "the query is not shown");
    assert!(explanation.services[0].record.is_some_and(|version| version > 0));
}

/// Guards against an explanation whose choice differs from that of requests to a service without keys, before and after
/// the data centre of the chosen instance is taken out.
#[test]
fn choice_explained() {
    let site = Site::start(1, 2);
    site.wait_members(FILES, 2);
    wait_until("both instances are known", || {
        (0..3).all(|daemon| {
            let explanation = explain(&site, daemon, "/files/customs", None);
            explanation.services.iter().any(|service| service.instances.len() == 2)
        })
    });
    let follow = |round: &str, daemon: usize| -> Vec<String> {
        let explained = || {
            let explanation = explain(&site, daemon, "/files/customs", None);
            // One candidate in each data centre leaves nothing to chance.
            match chosen(&explanation)[..] {
                [(instance, 1.0)] => instance.to_owned(),
                _ => panic!("not one instance: {explanation:?}"),
            }
        };
        let run = |number: usize| {
            let before = counters(&site);
            let expected = explained();
            assert_eq!(counters(&site), before);
            let id = format!("{round}-{daemon}-{number}");
            assert_eq!(site.get(daemon, "/files/customs", &id, 7).status, 200);
            let ran = ran_at(&site, &id, 1);
            // Loads change all the time; where the choice changes with them, nothing can be compared.
            let is_same = ran == expected;
            assert!(is_same || explained() != expected, "{id} ran at {ran}, not at {expected}");
            is_same.then_some(expected)
        };
        let followed: Vec<String> = (0..10).filter_map(run).collect();
        assert!(followed.len() >= 8, "few requests ran where the command said: {followed:?}");
        followed
    };
    (0..3).for_each(|daemon| drop(follow("in", daemon)));
    site.store.evacuate("centre-0");
    wait_until("the data centre is taken out", || {
        (0..3).all(|daemon| {
            let explanation = explain(&site, daemon, "/files/customs", None);
            explanation.taken_out.iter().any(|taken_out| taken_out.data_centre == "centre-0")
        })
    });
    for daemon in 0..3 {
        let explanation = explain(&site, daemon, "/files/customs", None);
        let instances = explanation.services.iter().flat_map(|service| &service.instances);
        let excluded: Vec<&ExplainedInstance> = instances
            .filter(|instance| instance.excluded.as_deref() == Some("evacuated"))
            .collect();
        assert_eq!(excluded.len(), 1, "{explanation:?}");
        assert_eq!((excluded[0].instance.as_str(), excluded[0].share), ("files-0", 0.0));
        assert_eq!(follow("out", daemon), ["files-1"; 10]);
    }
    let metrics = site.daemons[0].addresses.metrics;
    let (_, text, _) = run(metrics, "/files/customs", Options::default());
    assert!(text.contains("data centres taken out: centre-0"), "{text}");
    assert!(text.lines().any(|line| line.starts_with("files-0") && line.ends_with("evacuated")));
}

/// What can't be sent is explained with the response that a real request gets: an unknown path or host, a missing key,
/// and a key whose slice has no owner.
#[test]
fn refusals_explained() {
    let mut site = Site::start(1, 1);
    let refusal = |explanation: &Explanation| {
        let services = explanation.services.iter().find_map(|service| service.refusal.clone());
        let refusal = explanation.refusal.clone().or(services).expect("it is refused");
        (refusal.status, refusal.reason)
    };
    let explanation = explain(&site, 1, "/nowhere/", Some(3));
    assert_eq!(refusal(&explanation), (404, "no route".to_owned()));
    assert_eq!((explanation.route, explanation.configuration), (None, 5));
    assert_eq!(site.get(1, "/nowhere/", "n1", 3).status, 404);
    let metrics = site.daemons[1].addresses.metrics;
    let host = Options { host: Some("pond.example".to_owned()), ..Options::default() };
    assert!(run(metrics, "/stock/crayfish", host).1.contains("refused: 404 no route"));

    let explanation = explain(&site, 1, "/stock/crayfish", None);
    assert_eq!(refusal(&explanation), (503, "no-key".to_owned()));
    assert_eq!(explanation.services[0].slice, None);

    // Nobody is left who could assign the slices.
    site.daemons[0].kill();
    site.upstreams[0].stop();
    let mut record = site.store.record(DESK).expect("the service has a record");
    let version = record["version"].as_u64().expect("version is a number") + 1;
    record["version"] = version.into();
    record["owners"] = json!([[4_096, -1]]);
    site.store.put_record(DESK, &record);
    wait_until("the record is known", || {
        explain(&site, 1, "/stock/crayfish", Some(3)).services[0].record == Some(version)
    });
    let explanation = explain(&site, 1, "/stock/crayfish", Some(3));
    assert_eq!(refusal(&explanation), (503, "unowned".to_owned()));
    let service = &explanation.services[0];
    assert_eq!((service.slice, service.instances.len()), (Some(0), 0));
    let refused = site.get(1, "/stock/crayfish", "n2", 3);
    assert_eq!((refused.status, refused.body.as_str()), (503, "unowned"));
}

/// Guards against an explanation that leaves out the admission to the upstream: while all slots are taken for longer
/// than the caller waits, the explained refusal is the one that the request gets.
#[test]
fn busy_upstream_explained() {
    const DEADLINE_MS: u64 = 600;
    let site = Site::start(1, 0);
    let run_four = |round: &str| {
        let ids = (0..4).map(|number| format!("{round}{number}"));
        ids.collect::<Vec<_>>()
    };
    // Service times are estimated from responses, so that one round comes first.
    site.upstreams[0].set_work(Duration::from_millis(1_500));
    thread::scope(|scope| {
        for id in run_four("b") {
            let site = &site;
            scope.spawn(move || site.get(0, "/stock/crayfish", &id, 7));
        }
    });
    let explain_short = || {
        let header = vec![format!("x-deadline-ms: {DEADLINE_MS}")];
        let options =
            Options { json: true, key: Some("7".to_owned()), header, ..Options::default() };
        let (_, output, _) = run(site.daemons[0].addresses.metrics, "/stock/crayfish", options);
        let explanation: Explanation = serde_json::from_str(&output).expect("an explanation");
        explanation.services[0].admission.clone().expect("it is the owner")
    };
    thread::scope(|scope| {
        for id in run_four("c") {
            let site = &site;
            scope.spawn(move || site.get(0, "/stock/crayfish", &id, 7));
        }
        wait_until("all slots are taken", || explain_short().running == 4);
        let admission = explain_short();
        let callers = site.daemons[0].addresses.callers;
        let request = ureq::get(format!("http://{callers}/stock/crayfish")).config();
        let request = request.http_status_as_error(false).build().header("host", HOST);
        let request = request.header("x-shard-key", "7").header("x-attempt-id", "d1");
        let response = request.header("x-deadline-ms", DEADLINE_MS.to_string()).call();
        let mut response = response.expect("the daemon responds");
        let body = response.body_mut().read_to_string().expect("the body is text");
        let refusal = admission.refusal.clone().expect("it is refused");
        assert_eq!((admission.running, admission.slots), (4, 4));
        assert_eq!((response.status().as_u16(), body), (refusal.status, refusal.reason));
        let (shortest, longest) = refusal.retry_after_ms.expect("there is a time");
        let retry_after = response.headers().get("retry-after").expect("there is a time");
        let seconds: f64 = retry_after.to_str().unwrap().parse().expect("it is a number");
        // Some time has passed since the explanation.
        let range = shortest as f64 / 2_000.0..=longest as f64 / 1_000.0 + 0.1;
        assert!(range.contains(&seconds), "{seconds} s, explained {shortest} to {longest} ms");
    });
}

/// Guards against explanations that take the time of the thread which serves callers: of many requests at once, few are
/// explained, and the others are told when to come back.
#[test]
fn rate_limited() {
    let site = Site::start(1, 0);
    let metrics = site.daemons[0].addresses.metrics;
    let agent: ureq::Agent =
        ureq::Agent::config_builder().http_status_as_error(false).build().into();
    let start = Instant::now();
    let get = |_| {
        let url = format!("http://{metrics}/explain?method=GET&path=%2Fstock%2Fcrayfish&key=3");
        let response = agent.get(url).call().expect("the daemon responds");
        let retry_after = response.headers().get("retry-after");
        let retry_after = retry_after.map(|value| value.to_str().unwrap().parse::<f64>().unwrap());
        (response.status().as_u16(), retry_after)
    };
    let responses: Vec<_> = (0..40).map(get).collect();
    let most = start.elapsed().as_millis() / 100 + 1;
    let (explained, refused): (Vec<_>, Vec<_>) =
        responses.into_iter().partition(|(status, _)| *status == 200);
    assert!(!explained.is_empty() && explained.len() as u128 <= most, "{explained:?}");
    for response in &refused {
        assert!(matches!(response, (429, Some(seconds)) if *seconds <= 0.1), "{response:?}");
    }
}

/// Guards against secrets and addresses in the output, and against a parameter that is silently ignored: headers with
/// credentials are refused without being shown, by the command and by the daemon, and malformed parameters are named.
#[test]
fn malformed_queries() {
    let store = rattanarch_adapter_standins::Store::start();
    store.configure(5);
    let mut site = Site::empty(store);
    site.add(FILES, "files-0", "centre-0");
    wait_until("the daemon serves", || site.get(0, "/files/a", "f", 1).status == 200);
    let metrics = site.daemons[0].addresses.metrics;
    let agent: ureq::Agent =
        ureq::Agent::config_builder().http_status_as_error(false).build().into();
    let get = |query: &str| {
        // The daemon explains at most one request per 100 ms.
        thread::sleep(Duration::from_millis(110));
        let mut response = agent.get(format!("http://{metrics}/explain{query}")).call().unwrap();
        (response.status().as_u16(), response.body_mut().read_to_string().unwrap())
    };
    let valid = "?method=GET&path=%2Ffiles%2Fa%2Bb";
    assert_eq!(get(valid).0, 200);
    for (query, named) in [
        ("", "method"),
        ("?method=GET", "path"),
        ("?method=GET&path=files", "path"),
        ("?method=G%20T&path=%2Ffiles%2F", "method"),
        (&format!("{valid}&key=65536"), "key"),
        (&format!("{valid}&key=1&key=2"), "key"),
        (&format!("{valid}&depth=1"), "depth"),
        (&format!("{valid}&header=x-deadline-ms"), "header"),
        (&format!("{valid}&header=Authorization:+Bearer+hidden"), "Authorization"),
    ] {
        let (status, text) = get(query);
        assert_eq!(status, 400, "{query}: {text}");
        assert!(text.contains(named) && !text.contains("hidden"), "{query}: {text}");
    }
    let header = vec!["Authorization: Bearer hidden".to_owned()];
    let (exit, _, errors) = run(metrics, "/files/a", Options { header, ..Options::default() });
    assert!(exit == Exit::Usage && !errors.contains("hidden"), "{errors}");
    let key = Some("customs".to_owned());
    let (exit, _, errors) = run(metrics, "/files/a", Options { key, ..Options::default() });
    assert!(exit == Exit::Usage && errors.contains("malformed key"), "{errors}");
    let header = vec!["x-comment: a&b=c + d%41".to_owned()];
    let options = Options { header, json: true, ..Options::default() };
    let (exit, output, errors) = run(metrics, "/files/a+b&c", options);
    assert_eq!((exit, errors.as_str()), (Exit::Done, ""));
    let explanation: Explanation = serde_json::from_str(&output).unwrap();
    assert_eq!(explanation.path, "/files/a+b&c");
    let callers = site.daemons[0].addresses.callers.to_string();
    assert!(!output.contains(&callers) && !output.contains("x-comment"), "{output}");
    assert!(site.metrics(0).contains("rattanarch_requests"));
}
