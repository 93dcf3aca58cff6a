//! What a client library is asked to bear, against one and the same server.

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

use crate::probe::Probe;
use crate::server::WORK_TIME;
use crate::subject::Subject;
use crate::subject::usage_of;

/// All measurements.
pub const ALL: [(&str, Probe); 6] = [
    // First, before threads raise the process's greatest memory.
    ("ureq, large answer", ureq_large),
    ("hyper, large answer", hyper_large),
    ("ureq, 130 requests at once", ureq_many),
    ("hyper, 130 requests at once", hyper_many),
    ("ureq, given up after 50 ms", ureq_given_up),
    ("hyper, given up after 50 ms", hyper_given_up),
];

/// Requests at once: an upstream's connections.
const COUNT: usize = 130;

/// When a caller gives up.
const GIVE_UP: Duration = Duration::from_millis(50);

fn ureq_many(subject: &Subject) -> Result<String, Box<dyn Error>> {
    let agent = ureq::agent();
    let url = format!("http://{}/work", subject.address);
    let before = usage_of("self")?;
    let start = Instant::now();
    let (answered, held) = thread::scope(|scope| {
        let work = || agent.get(&url).call().is_ok();
        let callers: Vec<_> = (0..COUNT).map(|_| scope.spawn(work)).collect();
        thread::sleep(WORK_TIME / 2);
        let held = usage_of("self");
        let answered = callers.into_iter().filter_map(|caller| caller.join().ok());
        (answered.filter(|&answered| answered).count(), held)
    });
    let threads = held?.threads - before.threads;
    let took = start.elapsed().as_millis();
    Ok(format!("{answered} answered in {took} ms with {threads} threads more"))
}

fn hyper_many(subject: &Subject) -> Result<String, Box<dyn Error>> {
    let runtime = runtime()?;
    let before = usage_of("self")?;
    let start = Instant::now();
    let address = subject.address.to_string();
    let (answered, held) = runtime.block_on(async {
        let mut callers = JoinSet::new();
        for _ in 0..COUNT {
            let address = address.clone();
            callers.spawn(async move { get(&address, "/work").await.is_ok() });
        }
        tokio::time::sleep(WORK_TIME / 2).await;
        let held = usage_of("self");
        let answered = callers.join_all().await.into_iter().filter(|&answered| answered).count();
        (answered, held)
    });
    let threads = held?.threads - before.threads;
    let took = start.elapsed().as_millis();
    Ok(format!("{answered} answered in {took} ms with {threads} threads more"))
}

fn ureq_given_up(subject: &Subject) -> Result<String, Box<dyn Error>> {
    // A call can end by its timeout alone: nothing ends one call from outside.
    let url = format!("http://{}/work", subject.address);
    let request = ureq::get(url).config().timeout_global(Some(GIVE_UP)).build();
    let start = Instant::now();
    let gave_up = request.call().is_err();
    let took = start.elapsed().as_millis();
    Ok(format!("gave up: {gave_up}, after {took} ms by its timeout; {}", counts(subject)?))
}

fn hyper_given_up(subject: &Subject) -> Result<String, Box<dyn Error>> {
    let address = subject.address.to_string();
    let start = Instant::now();
    let outcome = runtime()?
        .block_on(async { tokio::time::timeout(GIVE_UP, get(&address, "/work")).await.is_err() });
    let took = start.elapsed().as_millis();
    Ok(format!("gave up: {outcome}, after {took} ms by dropping it; {}", counts(subject)?))
}

fn counts(subject: &Subject) -> Result<String, Box<dyn Error>> {
    thread::sleep(WORK_TIME * 2);
    let mut answer = ureq::get(format!("http://{}/counts", subject.address)).call()?;
    let counts = answer.body_mut().read_to_string()?;
    let (finished, cancelled) = counts.split_once(' ').unwrap_or_default();
    Ok(format!("server finished {finished}, cancelled {cancelled}"))
}

fn ureq_large(subject: &Subject) -> Result<String, Box<dyn Error>> {
    let before = usage_of("self")?.peak;
    let answer = ureq::get(format!("http://{}/large", subject.address)).call()?;
    let mut reader = answer.into_body().into_reader();
    let mut buffer = vec![0; 64 << 10];
    let mut total = 0;
    loop {
        let count = reader.read(&mut buffer)?;
        if count == 0 {
            break;
        }
        total += count as u64;
    }
    let grown = usage_of("self")?.peak - before;
    Ok(format!("{} MiB read, memory grew by at most {grown} KiB", total >> 20))
}

fn hyper_large(subject: &Subject) -> Result<String, Box<dyn Error>> {
    let before = usage_of("self")?.peak;
    let address = subject.address.to_string();
    let total = runtime()?.block_on(get(&address, "/large"));
    let total = total.map_err(|error| error.to_string())?;
    let grown = usage_of("self")?.peak - before;
    Ok(format!("{} MiB read, memory grew by at most {grown} KiB", total >> 20))
}

fn runtime() -> Result<tokio::runtime::Runtime, Box<dyn Error>> {
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    Ok(builder.worker_threads(2).enable_all().build()?)
}

/// Reads an answer to its end and returns its length.
async fn get(address: &str, path: &str) -> Result<u64, Box<dyn Error + Send + Sync>> {
    let stream = TcpStream::connect(address).await?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    // Its errors come out at the sender.
    tokio::spawn(async move { drop(connection.await) });
    let request = Request::get(path).header("host", address).body(Empty::<Bytes>::new())?;
    let mut body = sender.send_request(request).await?.into_body();
    let mut total = 0;
    while let Some(frame) = body.frame().await {
        total += frame?.data_ref().map_or(0, Bytes::len) as u64;
    }
    Ok(total)
}
