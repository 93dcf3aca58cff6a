//! Measurements of client libraries against the same server.

use std::error::Error;
use std::io::Read;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Empty;
use hyper::Request;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use crate::server::WORK_TIME;
use crate::server_measurements::Measurement;
use crate::server_process::ServerProcess;
use crate::server_process::usage_of;

/// All measurements.
pub const ALL: [(&str, Measurement); 6] = [
    // These come first, because threads raise the peak memory of the process.
    ("ureq, large answer", ureq_large),
    ("hyper, large answer", hyper_large),
    ("ureq, 130 requests at once", ureq_many),
    ("hyper, 130 requests at once", hyper_many),
    ("ureq, given up after 50 ms", ureq_given_up),
    ("hyper, given up after 50 ms", hyper_given_up),
];

/// Number of concurrent requests: the connections of one upstream.
const CONCURRENT_REQUESTS: usize = 130;

/// Time after which a caller gives up.
const GIVE_UP_TIME: Duration = Duration::from_millis(50);

fn ureq_many(server: &ServerProcess) -> Result<String, Box<dyn Error>> {
    let agent = ureq::agent();
    let url = format!("http://{}/work", server.address);
    let before = usage_of("self")?;
    let start = Instant::now();
    let (answered, during) = thread::scope(|scope| {
        let request = || agent.get(&url).call().is_ok();
        let callers: Vec<_> = (0..CONCURRENT_REQUESTS).map(|_| scope.spawn(request)).collect();
        thread::sleep(WORK_TIME / 2);
        let during = usage_of("self");
        let answered = callers.into_iter().filter_map(|caller| caller.join().ok());
        (answered.filter(|&answered| answered).count(), during)
    });
    let threads = during?.threads - before.threads;
    let elapsed_ms = start.elapsed().as_millis();
    Ok(format!("{answered} answered in {elapsed_ms} ms with {threads} threads more"))
}

fn hyper_many(server: &ServerProcess) -> Result<String, Box<dyn Error>> {
    let runtime = runtime()?;
    let before = usage_of("self")?;
    let start = Instant::now();
    let address = server.address.to_string();
    let (answered, during) = runtime.block_on(async {
        let mut callers = JoinSet::new();
        for _ in 0..CONCURRENT_REQUESTS {
            let address = address.clone();
            callers.spawn(async move { get(&address, "/work").await.is_ok() });
        }
        tokio::time::sleep(WORK_TIME / 2).await;
        let during = usage_of("self");
        let answered = callers.join_all().await.into_iter().filter(|&answered| answered).count();
        (answered, during)
    });
    let threads = during?.threads - before.threads;
    let elapsed_ms = start.elapsed().as_millis();
    Ok(format!("{answered} answered in {elapsed_ms} ms with {threads} threads more"))
}

fn ureq_given_up(server: &ServerProcess) -> Result<String, Box<dyn Error>> {
    // A call can only be ended by its timeout; it cannot be cancelled from outside.
    let url = format!("http://{}/work", server.address);
    let request = ureq::get(url).config().timeout_global(Some(GIVE_UP_TIME)).build();
    let start = Instant::now();
    let gave_up = request.call().is_err();
    let elapsed_ms = start.elapsed().as_millis();
    Ok(format!("gave up: {gave_up}, after {elapsed_ms} ms by its timeout; {}", counts(server)?))
}

fn hyper_given_up(server: &ServerProcess) -> Result<String, Box<dyn Error>> {
    let address = server.address.to_string();
    let start = Instant::now();
    let gave_up = runtime()?.block_on(async {
        tokio::time::timeout(GIVE_UP_TIME, get(&address, "/work")).await.is_err()
    });
    let elapsed_ms = start.elapsed().as_millis();
    Ok(format!("gave up: {gave_up}, after {elapsed_ms} ms by dropping it; {}", counts(server)?))
}

fn counts(server: &ServerProcess) -> Result<String, Box<dyn Error>> {
    thread::sleep(WORK_TIME * 2);
    let mut response = ureq::get(format!("http://{}/counts", server.address)).call()?;
    let counts = response.body_mut().read_to_string()?;
    let (finished, cancelled) = counts.split_once(' ').unwrap_or_default();
    Ok(format!("server finished {finished}, cancelled {cancelled}"))
}

fn ureq_large(server: &ServerProcess) -> Result<String, Box<dyn Error>> {
    let before = usage_of("self")?.peak;
    let response = ureq::get(format!("http://{}/large", server.address)).call()?;
    let mut reader = response.into_body().into_reader();
    let mut buffer = vec![0; 64 << 10];
    let mut total = 0;
    loop {
        let count = reader.read(&mut buffer)?;
        if count == 0 {
            break;
        }
        total += count as u64;
    }
    let growth = usage_of("self")?.peak - before;
    Ok(format!("{} MiB read, memory grew by at most {growth} KiB", total >> 20))
}

fn hyper_large(server: &ServerProcess) -> Result<String, Box<dyn Error>> {
    let before = usage_of("self")?.peak;
    let address = server.address.to_string();
    let total = runtime()?.block_on(get(&address, "/large"));
    let total = total.map_err(|error| error.to_string())?;
    let growth = usage_of("self")?.peak - before;
    Ok(format!("{} MiB read, memory grew by at most {growth} KiB", total >> 20))
}

fn runtime() -> Result<tokio::runtime::Runtime, Box<dyn Error>> {
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    Ok(builder.worker_threads(2).enable_all().build()?)
}

/// Reads a response to its end and returns the length of its body.
async fn get(address: &str, path: &str) -> Result<u64, Box<dyn Error + Send + Sync>> {
    let stream = TcpStream::connect(address).await?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    // The sender returns the errors of the connection.
    tokio::spawn(async move { drop(connection.await) });
    let request = Request::get(path).header("host", address).body(Empty::<Bytes>::new())?;
    let mut body = sender.send_request(request).await?.into_body();
    let mut total = 0;
    while let Some(frame) = body.frame().await {
        total += frame?.data_ref().map_or(0, Bytes::len) as u64;
    }
    Ok(total)
}
