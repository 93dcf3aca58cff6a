//! Requests whose heads and bodies arrive in arbitrary pieces.
#![allow(clippy::unwrap_used, reason = "as in test functions")]

mod mesh_support;

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

use mesh_support::Site;
use mesh_support::wait_until;
use quickcheck::Gen;
use rattanarch_adapter_standins::HOST;

/// Number of random cases, and the time after which further ones pass unplayed.
const CASES: u64 = 30;
const MAX_TIME: Duration = Duration::from_secs(30);

/// One request: length of its body, and the sizes of its chunks, repeated in turn; without sizes it has a length.
type RequestPlan = (u16, Vec<u8>);

/// Sizes of the pieces that are written at once, repeated in turn.
type Splits = Vec<u16>;

fn body(length: u16, seed: usize) -> Vec<u8> {
    (0..usize::from(length)).map(|index| b'a' + ((index * 7 + seed) % 26) as u8).collect()
}

fn encode((length, chunks): &RequestPlan, id: &str, seed: usize) -> Vec<u8> {
    let body = body(*length, seed);
    let head = format!(
        "POST /stock/crayfish HTTP/1.1\r\nhost: {HOST}\r\nx-attempt-id: {id}\r\nx-shard-key: 3\r\n"
    );
    if chunks.is_empty() {
        let head = format!("{head}content-length: {length}\r\n\r\n");
        return [head.into_bytes(), body].concat();
    }
    let mut encoded = format!("{head}transfer-encoding: chunked\r\n\r\n").into_bytes();
    let mut sizes = chunks.iter().map(|size| usize::from(*size) * 16 + 1).cycle();
    let mut rest = body.as_slice();
    while !rest.is_empty() {
        let (chunk, after) = rest.split_at(rest.len().min(sizes.next().unwrap()));
        encoded.extend(format!("{:x}\r\n", chunk.len()).bytes());
        encoded.extend(chunk);
        encoded.extend(b"\r\n");
        rest = after;
    }
    encoded.extend(b"0\r\n\r\n");
    encoded
}

/// Sends `bytes` in pieces, and returns the statuses of `count` responses.
fn exchange(address: SocketAddr, bytes: &[u8], splits: &Splits, count: usize) -> Vec<String> {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_nodelay(true).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    let mut sizes = splits.iter().map(|size| usize::from(*size) + 1).chain([1_000]).cycle();
    let mut rest = bytes;
    while !rest.is_empty() {
        let (piece, after) = rest.split_at(rest.len().min(sizes.next().unwrap()));
        stream.write_all(piece).unwrap();
        std::thread::yield_now();
        rest = after;
    }
    let (mut text, mut buffer) = (String::new(), [0; 4_096]);
    let statuses = |text: &str| -> Vec<String> {
        text.split("HTTP/1.1 ").skip(1).map(|rest| rest.chars().take(3).collect()).collect()
    };
    while statuses(&text).len() < count {
        let length = stream.read(&mut buffer).unwrap();
        assert!(length > 0, "closed after {text:?}");
        text.push_str(&String::from_utf8_lossy(&buffer[..length]));
    }
    statuses(&text)
}

/// Guards against bodies that are changed by how they arrive: whatever the pieces, the chunks and the requests sent
/// ahead, each request is answered in turn, and the upstream gets each body that was answered with 200 as it was sent.
#[test]
fn any_pieces() {
    let site = Site::start(1, 0);
    wait_until("the upstream serves", || site.get(0, "/stock/crayfish", "first", 3).status == 200);
    let (address, end) = (site.daemons[0].addresses.callers, Instant::now() + MAX_TIME);
    let case = std::cell::Cell::new(0);
    let served = std::cell::Cell::new(0);
    let play = |requests: &[RequestPlan], splits: &Splits| {
        let number = case.replace(case.get() + 1);
        let id = |index: usize| format!("case-{number}-{index}");
        let encoded = requests.iter().enumerate();
        let bytes: Vec<u8> =
            encoded.flat_map(|(index, request)| encode(request, &id(index), index)).collect();
        let statuses = exchange(address, &bytes, splits, requests.len());
        let runs = site.upstreams[0].runs();
        statuses.iter().enumerate().filter(|(_, status)| *status == "200").all(|(index, _)| {
            served.set(served.get() + 1);
            let run = runs.iter().find(|run| run.id == id(index));
            run.is_some_and(|run| run.body == body(requests[index].0, index))
        })
    };
    let mut random = Gen::new(8);
    for _ in 0..CASES {
        if Instant::now() > end {
            break;
        }
        let mut requests: Vec<RequestPlan> = quickcheck::Arbitrary::arbitrary(&mut random);
        requests.truncate(4);
        let splits: Splits = quickcheck::Arbitrary::arbitrary(&mut random);
        assert!(play(&requests, &splits), "{requests:?} {splits:?}");
    }
    assert!(served.get() > 0, "no request was served");
}
