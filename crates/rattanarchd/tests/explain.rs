//! Explained requests of the daemon, at its operators' address.

mod operator_support;
mod support;

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use operator_support::FakePlatform;
use operator_support::new_api;
use rattanarch_cli::Exit;
use rattanarch_cli::Options;
use rattanarch_types::Configuration;
use rattanarch_types::DataCentre;
use rattanarch_types::Explanation;
use rattanarch_types::Standing;
use rattanarchd::operator::Access;
use rattanarchd::operator::Server;
use rattanarchd::process::OperatorSettings;
use sha2::Digest;
use sha2::Sha256;
use support::FakeUpstream;
use support::Reply;
use support::SERVICE;
use support::TestDaemon;
use support::send_request;
use support::send_request_with;
use support::view_of;

/// Number of token files written so far.
static FILES: AtomicUsize = AtomicUsize::new(0);

const SECOND: Duration = Duration::from_secs(1);

/// Runs the command with `token` against the operators' address of `daemon`.
async fn run(daemon: &TestDaemon, token: &str, path: &str) -> (Exit, String, String) {
    let digest = Sha256::digest(b"token-a");
    let token_sha256 = digest.iter().map(|byte| format!("{byte:02x}")).collect();
    let operator =
        OperatorSettings { name: "anna".into(), firm: Some("coop".into()), token_sha256 };
    let (views, handler) = (daemon.views.clone(), Arc::clone(&daemon.handler));
    // A file of its own: another test could read it while it is written.
    let number = FILES.fetch_add(1, Ordering::Relaxed);
    let name = format!("rattanarch-explain-{}-{number}", std::process::id());
    let token_file = std::env::temp_dir().join(name);
    std::fs::write(&token_file, token).expect("write the token");
    let statement = ["explain", "POST", path].map(str::to_owned).to_vec();
    let run = move || {
        let platform = FakePlatform::start();
        let api = new_api(&platform, "coop", SERVICE, &views).with_requests(handler);
        let address = "127.0.0.1:0".parse().expect("an address");
        let access = Access::new(&[operator]);
        let server = Server::start(address, access, Arc::new(api)).expect("a free port");
        let options = Options {
            at: vec![format!("http://{}", server.address())],
            token_file: Some(token_file.display().to_string()),
            json: true,
            statement,
            ..Options::default()
        };
        let (mut output, mut errors) = (Vec::new(), Vec::new());
        let exit = rattanarch_cli::run(&options, &mut &b""[..], &mut output, &mut errors);
        std::fs::remove_file(&token_file).expect("remove the token");
        let text = |bytes| String::from_utf8(bytes).expect("the output is text");
        (exit, text(output), text(errors))
    };
    tokio::task::spawn_blocking(run).await.expect("the command runs")
}

async fn explain(daemon: &TestDaemon, path: &str) -> Explanation {
    let (exit, output, errors) = run(daemon, "token-a", path).await;
    assert_eq!((exit, errors.as_str()), (Exit::Done, ""));
    serde_json::from_str(&output).expect("the output is an explanation")
}

async fn healthy() -> FakeUpstream {
    FakeUpstream::start(|_, _| Reply::Respond(200, Vec::new())).await
}

fn chosen(explanation: &Explanation) -> Vec<(&str, f64)> {
    let instances = explanation.services.iter().flat_map(|service| &service.instances);
    let chosen = instances.filter(|instance| instance.share > 0.0);
    chosen.map(|instance| (instance.instance.as_str(), instance.share)).collect()
}

/// Guards against an explanation that names another owner than the one at which the next request runs.
#[tokio::test(flavor = "multi_thread")]
async fn owner_explained() {
    let (one, two) = (healthy().await, healthy().await);
    let owner = TestDaemon::start(one.address, SECOND);
    let other = TestDaemon::start(two.address, SECOND);
    let members = [(1, owner.address), (2, other.address)];
    owner.views.publish(view_of(1, &members, 1, SECOND));
    other.views.publish(view_of(2, &members, 1, SECOND));
    let path = "/trade-desk/stock/tank-1";
    for (daemon, is_own) in [(&owner, true), (&other, false)] {
        let explanation = explain(daemon, path).await;
        assert_eq!(chosen(&explanation), [("desk-1", 1.0)], "{explanation:?}");
        let service = &explanation.services[0];
        assert_eq!((service.record, service.slice.is_some()), (Some(1), true));
        assert_eq!(service.admission.as_ref().map(|it| &*it.outcome), is_own.then_some("starts"));
        let before = one.requests().len();
        assert_eq!(send_request(daemon.address, "POST", path).await.status, 200);
        assert_eq!((one.requests().len(), two.requests().len()), (before + 1, 0));
    }
}

/// Guards against an explanation that counts as an attempt, and one that considers a data centre that is taken out:
/// shares are the same before and after many explanations, and requests run where they said.
#[tokio::test(flavor = "multi_thread")]
async fn choice_explained() {
    let (one, two) = (healthy().await, healthy().await);
    let daemons = TestDaemon::start_unkeyed(&[one.address, two.address], SECOND);
    let path = "/trade-desk/files/a";
    let first = explain(&daemons[0], path).await;
    assert_eq!(first.services[0].instances.len(), 2, "{first:?}");
    for _ in 0..20 {
        assert_eq!(explain(&daemons[0], path).await, first);
    }
    assert_eq!((one.requests().len(), two.requests().len()), (0, 0));
    daemons[0].update_view(|view| {
        let mut configuration = Configuration::clone(&view.configuration);
        configuration.version += 1;
        let service = configuration.services.get_mut(SERVICE).unwrap();
        service.out.insert("desk-1".to_owned());
        view.configuration = Arc::new(configuration);
    });
    for number in 1..=10 {
        let explanation = explain(&daemons[0], path).await;
        assert_eq!(chosen(&explanation), [("desk-2", 1.0)]);
        assert_eq!(send_request(daemons[0].address, "POST", path).await.status, 200);
        assert_eq!((one.requests().len(), two.requests().len()), (0, number));
    }
    daemons[0].update_view(|view| {
        let mut configuration = Configuration::clone(&view.configuration);
        configuration.version += 1;
        let centre = DataCentre { standing: Standing::Out, ..DataCentre::default() };
        configuration.data_centres.insert("hafenhalle".to_owned(), centre);
        view.configuration = Arc::new(configuration);
    });
    let explanation = explain(&daemons[0], path).await;
    assert_eq!(explanation.taken_out[0].data_centre, "hafenhalle");
    let excluded = |index: usize| explanation.services[0].instances[index].excluded.as_deref();
    assert_eq!([excluded(0), excluded(1)], [Some("taken out"); 2]);
    let refusal = explanation.services[0].refusal.clone().expect("it is refused");
    let refused = send_request(daemons[0].address, "POST", path).await;
    assert_eq!(refused.status, refusal.status);
}

/// An unknown path, a missing key and an unowned slice are explained with the status and the time to return of a real
/// refusal. Without the token of an operator, nothing is explained.
#[tokio::test(flavor = "multi_thread")]
async fn refusals_explained() {
    let upstream = healthy().await;
    let daemon = TestDaemon::start(upstream.address, SECOND);
    for path in ["/other/stock/a", "/trade-desk/control/a", "/trade-desk", "/trade-desk/stock//a"] {
        let explanation = explain(&daemon, path).await;
        let real = send_request(daemon.address, "POST", path).await;
        let refusal = explanation.refusal.expect("it is refused");
        assert_eq!(refusal.status, real.status, "{path}");
    }
    daemon.update_view(|view| {
        let mut record = rattanarch_types::Record::clone(&view.serving.record);
        record.owners.fill(None);
        view.serving.record = Arc::new(record);
    });
    let path = "/trade-desk/stock/tank-1";
    let explanation = explain(&daemon, path).await;
    let refusal = explanation.services[0].refusal.clone().expect("it is refused");
    let real = send_request_with(daemon.address, "POST", path, &[], b"").await;
    let retry_ms = real.header("rattanarch-retry-ms").and_then(|text| text.parse().ok());
    assert_eq!((refusal.status, refusal.retry_after_ms.map(|it| it.0)), (real.status, retry_ms));
    assert_eq!(refusal.reason, "the key has no owner");
    assert_eq!(explanation.services[0].instances, []);
    let (exit, output, errors) = run(&daemon, "stale", path).await;
    assert_eq!((exit, output.as_str()), (Exit::Usage, ""));
    assert!(errors.contains("401") && !errors.contains("stale"), "{errors}");
}
