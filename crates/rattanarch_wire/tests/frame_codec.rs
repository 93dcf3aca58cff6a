//! Frames are accepted only if they are complete, authentic, not replayed and well-formed.

use std::time::Duration;

use quickcheck::TestResult;
use quickcheck::quickcheck;
use rattanarch_ownership::Message;
use rattanarch_types::Record;
use rattanarch_wire::Codec;
use rattanarch_wire::Knowledge;
use rattanarch_wire::MAX_DATAGRAM_BYTES;
use rattanarch_wire::Packet;
use rattanarch_wire::Pull;
use rattanarch_wire::PullReply;
use rattanarch_wire::ReplayWindow;
use rattanarch_wire::WireError;
use rattanarch_wire::WireMessage;
use rattanarch_wire::WireRecord;

const SECRET: &[u8] = b"a secret for tests only";

fn packet(sequence: u64, messages: Vec<WireMessage>) -> Packet {
    let knowledge = Knowledge { record: 9, configuration: 4, digest: u64::MAX, age_ms: 120 };
    Packet { from: 0xfeed, sequence, knowledge, messages }
}

fn message(kind: u8, a: u64, b: u64, c: u64) -> Message {
    let time = Duration::from_nanos(c);
    match kind % 6 {
        0 => Message::Renew { term: a, sent: time, record: b, load: (c >> 32) as u32 },
        1 => Message::Ack { term: a, sent: time, record: b, load: c as u32 },
        2 => Message::Refused { sealed: a, record: b },
        3 => Message::Seal { owner: a, term: b, forced: c & 1 == 0 },
        4 => Message::Sealed { owner: a, term: b, remaining: time },
        _ => Message::Alive { owner: a },
    }
}

quickcheck! {
    fn packet_round_trip(sequence: u64, parts: Vec<(u8, u64, u64, u64)>) -> bool {
        let messages: Vec<_> = parts.iter().map(|&(kind, a, b, c)| message(kind, a, b, c)).collect();
        let codec = Codec::new(SECRET);
        let sent = packet(sequence, messages.iter().map(WireMessage::from).collect());
        let frame = codec.encode(&sent).unwrap();
        let decoded: Packet = codec.decode(&frame, frame.len()).unwrap();
        let decoded_messages: Result<Vec<Message>, _> =
            decoded.messages.iter().map(|&m| Message::try_from(m)).collect();
        decoded == sent && decoded_messages.unwrap() == messages
    }

    fn changed_frame(at: usize, flip: u8) -> TestResult {
        if flip == 0 {
            return TestResult::discard();
        }
        let codec = Codec::new(SECRET);
        let mut frame = codec.encode(&packet(1, vec![WireMessage(1, 2, 3, 4, 5)])).unwrap();
        let at = at % frame.len();
        frame[at] ^= flip;
        let decoded = codec.decode::<Packet>(&frame, MAX_DATAGRAM_BYTES);
        TestResult::from_bool(matches!(decoded, Err(WireError::BadTag)))
    }

    fn arbitrary_bytes(bytes: Vec<u8>) -> bool {
        let codec = Codec::new(SECRET);
        codec.decode::<Packet>(&bytes, MAX_DATAGRAM_BYTES).is_err()
            && codec.decode::<Pull>(&bytes, MAX_DATAGRAM_BYTES).is_err()
            && codec.decode::<PullReply>(&bytes, MAX_DATAGRAM_BYTES).is_err()
    }

    fn authentic_garbage(bytes: Vec<u8>) -> bool {
        // A sender that knows the secret may still send malformed content, which must not cause a panic.
        let codec = Codec::new(SECRET);
        let frame = codec.encode(&bytes).unwrap();
        codec.decode::<Packet>(&frame, frame.len()).is_err()
            && codec.decode::<PullReply>(&frame, frame.len()).is_err()
    }

    fn later_only(sequences: Vec<u64>) -> bool {
        let mut window = ReplayWindow::default();
        let mut last = 0;
        sequences.into_iter().all(|sequence| {
            let later = sequence > last;
            last = last.max(sequence);
            window.accept(7, sequence).is_ok() == later
        })
    }
}

#[test]
fn other_secret() {
    let frame = Codec::new(b"another secret entirely").encode(&packet(1, Vec::new())).unwrap();
    let decoded = Codec::new(SECRET).decode::<Packet>(&frame, MAX_DATAGRAM_BYTES);
    assert!(matches!(decoded, Err(WireError::BadTag)));
}

#[test]
fn other_recipient() {
    let codec = Codec::new(SECRET);
    let frame = codec.encode_for(7, &packet(1, Vec::new())).unwrap();
    assert!(codec.decode_for::<Packet>(7, &frame, MAX_DATAGRAM_BYTES).is_ok());
    for other in [0, 8] {
        let decoded = codec.decode_for::<Packet>(other, &frame, MAX_DATAGRAM_BYTES);
        assert!(matches!(decoded, Err(WireError::BadTag)));
    }
    assert!(matches!(codec.decode::<Packet>(&frame, MAX_DATAGRAM_BYTES), Err(WireError::BadTag)));
}

#[test]
fn unknown_kind() {
    assert!(matches!(
        Message::try_from(WireMessage(200, 0, 0, 0, 0)),
        Err(WireError::UnknownKind(200))
    ));
}

#[test]
fn invalid_record() {
    let mut record = Record::new("trade-desk", 4);
    record.owners[2] = Some(0xdead);
    let decoded = Record::try_from(WireRecord::from(record));
    assert!(matches!(decoded, Err(WireError::InvalidRecord(_))));
}

#[test]
fn heartbeat_size() {
    // A node may use 3 KB/s in both directions together. With 12 datagrams every 400 ms and 28 bytes of IP and
    // UDP headers each, 72 bytes remain for a frame with one lease message.
    let codec = Codec::new(SECRET);
    let large = WireMessage(1, 1 << 20, u64::MAX >> 8, 1 << 20, 1 << 20);
    let mut sent = packet(1 << 24, vec![large]);
    sent.from = u64::MAX;
    let frame = codec.encode_for(u64::MAX, &sent).unwrap();
    assert!(frame.len() <= 72, "a heartbeat takes {} bytes", frame.len());
}
