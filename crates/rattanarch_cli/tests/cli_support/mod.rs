//! A fake daemon that gives prepared answers, and runs of the program against it.

#![allow(dead_code, reason = "each test file uses its part")]

use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use rattanarch_cli::Exit;
use rattanarch_cli::Options;
use rattanarch_cli::run;
use rattanarch_config::Coverage;
use rattanarch_config::OperatorRequest;
use rattanarch_config::OperatorResponse;
use rattanarch_config::Table;
use rouille::Response;

/// A daemon's operator side. It accepts the token `secret`.
#[derive(Clone)]
pub struct FakeDaemon {
    pub url: String,
    /// Requests that it got.
    pub requests: Arc<Mutex<Vec<OperatorRequest>>>,
}

impl FakeDaemon {
    /// Answers in turn, the last one again and again.
    pub fn start(answers: Vec<OperatorResponse>) -> Self {
        let requests = Arc::new(Mutex::new(Vec::new()));
        let got = Arc::clone(&requests);
        let handler = move |http: &rouille::Request| {
            if http.header("authorization") != Some("Bearer secret") {
                return Response::text("bad token").with_status_code(401);
            }
            let body = http.data().expect("a body");
            let request: OperatorRequest = serde_json::from_reader(body).expect("a request");
            let mut got = got.lock().expect("no panic");
            let at = got.len().min(answers.len() - 1);
            got.push(request);
            Response::json(&answers[at])
        };
        let server = rouille::Server::new("127.0.0.1:0", handler).expect("a free port");
        let url = format!("http://{}", server.server_addr());
        std::thread::spawn(move || server.run());
        Self { url, requests }
    }

    pub fn requests(&self) -> Vec<OperatorRequest> {
        self.requests.lock().expect("no panic").clone()
    }
}

/// Address that nothing listens at.
pub fn closed_url() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    format!("http://{}", listener.local_addr().expect("an address"))
}

/// Address of a listener that takes one call and closes it without an answer.
pub fn mute_url() -> String {
    use std::io::Read;
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let url = format!("http://{}", listener.local_addr().expect("an address"));
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = (&stream).read(&mut [0; 4_096]);
        }
    });
    url
}

/// A file with `content` that no other test uses.
pub fn file(content: &str) -> String {
    static COUNT: AtomicUsize = AtomicUsize::new(0);
    let number = COUNT.fetch_add(1, Ordering::Relaxed);
    let name = format!("rattanarch-test-{}-{number}", std::process::id());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, content).expect("a file");
    path.display().to_string()
}

pub fn options(urls: &[&str]) -> Options {
    let at = urls.iter().map(|url| (*url).to_owned()).collect();
    Options { at, token_file: Some(file("secret\n")), ..Options::default() }
}

pub fn say(urls: &[&str], statement: &str) -> (Exit, String, String) {
    run_with(&Options { statement: vec![statement.to_owned()], ..options(urls) }, "")
}

/// Runs the program; its exit, output and errors.
pub fn run_with(options: &Options, input: &str) -> (Exit, String, String) {
    let (mut output, mut errors) = (Vec::new(), Vec::new());
    let exit = run(options, &mut input.as_bytes(), &mut output, &mut errors);
    let text = |bytes| String::from_utf8(bytes).expect("text");
    (exit, text(output), text(errors))
}

pub fn table() -> OperatorResponse {
    let row = |name: &str, standing: &str| vec![name.to_owned(), standing.to_owned()];
    let columns = row("data-centre", "standing");
    let rows = vec![row("nordkuehl", "in"), row("welsdepot", "out")];
    let table = Table { columns, rows };
    OperatorResponse::Table { firm: "coop".into(), table, version: 7, age_ms: 0, notes: Vec::new() }
}

pub fn accepted(version: u64) -> OperatorResponse {
    let coverage = Coverage { reported: 2, members: 9, unseen: vec!["pound-files".into()] };
    OperatorResponse::Accepted {
        firm: "coop".into(),
        version,
        write_id: 5,
        coverage,
        notes: Vec::new(),
    }
}

pub fn condition(met: bool) -> OperatorResponse {
    OperatorResponse::Condition { met, detail: "version 8 at 9 of 9 members of trade-desk".into() }
}
