//! Fake daemon with prepared responses, and helpers that run the program against it.

#![allow(dead_code, reason = "each test file uses only a part")]

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

/// Fake of a daemon's operators' interface. It accepts the token `secret`.
#[derive(Clone)]
pub struct FakeDaemon {
    pub url: String,
    /// Received requests.
    pub requests: Arc<Mutex<Vec<OperatorRequest>>>,
}

impl FakeDaemon {
    /// Starts a daemon that gives `responses` in turn, and then repeats the last one.
    pub fn start(responses: Vec<OperatorResponse>) -> Self {
        let requests = Arc::new(Mutex::new(Vec::new()));
        let received = Arc::clone(&requests);
        let handler = move |http: &rouille::Request| {
            if http.header("authorization") != Some("Bearer secret") {
                return Response::text("bad token").with_status_code(401);
            }
            let body = http.data().expect("read the request body");
            let request: OperatorRequest =
                serde_json::from_reader(body).expect("decode the request");
            let mut received = received.lock().expect("lock requests");
            let index = received.len().min(responses.len() - 1);
            received.push(request);
            Response::json(&responses[index])
        };
        let server = rouille::Server::new("127.0.0.1:0", handler).expect("bind a free port");
        let url = format!("http://{}", server.server_addr());
        std::thread::spawn(move || server.run());
        Self { url, requests }
    }

    pub fn requests(&self) -> Vec<OperatorRequest> {
        self.requests.lock().expect("lock requests").clone()
    }
}

/// Address at which nothing listens.
pub fn closed_url() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a free port");
    format!("http://{}", listener.local_addr().expect("get the local address"))
}

/// Address of a listener that reads the start of each request and closes the connection without a response.
pub fn silent_url() -> String {
    use std::io::Read;
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a free port");
    let url = format!("http://{}", listener.local_addr().expect("get the local address"));
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = (&stream).read(&mut [0; 4_096]);
        }
    });
    url
}

/// Writes `content` to a new file that no other test uses, and returns its path.
pub fn write_file(content: &str) -> String {
    static COUNT: AtomicUsize = AtomicUsize::new(0);
    let number = COUNT.fetch_add(1, Ordering::Relaxed);
    let name = format!("rattanarch-test-{}-{number}", std::process::id());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, content).expect("write the file");
    path.display().to_string()
}

/// Options for the daemons at `urls`, with the token that [`FakeDaemon`] accepts.
pub fn options(urls: &[&str]) -> Options {
    let at = urls.iter().map(|url| (*url).to_owned()).collect();
    Options { at, token_file: Some(write_file("secret\n")), ..Options::default() }
}

/// Runs one statement against the daemons at `urls`; returns exit status, output and errors.
pub fn run_statement(urls: &[&str], statement: &str) -> (Exit, String, String) {
    run_with(&Options { statement: vec![statement.to_owned()], ..options(urls) }, "")
}

/// Runs the program; returns exit status, output and errors.
pub fn run_with(options: &Options, input: &str) -> (Exit, String, String) {
    let (mut output, mut errors) = (Vec::new(), Vec::new());
    let exit = run(options, &mut input.as_bytes(), &mut output, &mut errors);
    let text = |bytes| String::from_utf8(bytes).expect("decode the output as UTF-8");
    (exit, text(output), text(errors))
}

/// Response with a table at version 7.
pub fn table() -> OperatorResponse {
    let row = |name: &str, standing: &str| vec![name.to_owned(), standing.to_owned()];
    let columns = row("data-centre", "standing");
    let rows = vec![row("nordkuehl", "in"), row("welsdepot", "out")];
    let table = Table { columns, rows };
    OperatorResponse::Table { firm: "coop".into(), table, version: 7, age_ms: 0, notes: Vec::new() }
}

/// Response to a command that was accepted at `version`.
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

/// Response to the check of a condition.
pub fn condition(met: bool) -> OperatorResponse {
    OperatorResponse::Condition { met, detail: "version 8 at 9 of 9 members of trade-desk".into() }
}
