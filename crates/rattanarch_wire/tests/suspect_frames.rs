//! Datagrams about suspects: what they carry, and what is rejected.

use std::time::Duration;

use quickcheck::TestResult;
use quickcheck::quickcheck;
use rattanarch_quarantine::EndState;
use rattanarch_quarantine::Fingerprint;
use rattanarch_quarantine::SuspectReport;
use rattanarch_wire::Codec;
use rattanarch_wire::Digest;
use rattanarch_wire::MAX_DATAGRAM_BYTES;
use rattanarch_wire::MAX_WIRE_SUSPECTS;
use rattanarch_wire::SuspectsMessage;
use rattanarch_wire::WireQuota;
use rattanarch_wire::WireSuspect;
use rattanarch_wire::WireSuspects;

fn codec() -> Codec {
    Codec::new(b"a secret for tests only")
}

fn report(head: u64, ends: Vec<(u64, EndState)>) -> SuspectReport {
    let age = Duration::from_millis(u64::from(u32::MAX));
    SuspectReport { fingerprint: Fingerprint { head, body: u64::MAX }, age, ends }
}

/// As many suspects as a daemon puts into one datagram fit into it, also with the longest numbers.
#[test]
fn full_datagram() {
    let ends = || vec![(u64::MAX, EndState::InFlight)];
    let reports = (0..30).map(|index| report(u64::MAX - index, ends())).collect();
    let message = SuspectsMessage { summary: Some(u64::MAX), wants_summary: true, reports };
    let frame = codec().encode(&WireSuspects::from(&message)).expect("it can be encoded");
    assert!(frame.len() <= MAX_DATAGRAM_BYTES, "{} bytes", frame.len());
    let decoded: WireSuspects = codec().decode(&frame, MAX_DATAGRAM_BYTES).expect("it is whole");
    assert_eq!(SuspectsMessage::try_from(decoded).expect("it is well-formed"), message);
}

/// The datagram is not taken for one of another kind.
#[test]
fn other_kinds() {
    let wire = WireSuspects(3, Some(1), false, vec![WireSuspect(1, 2, 3, vec![(4, 0)])]);
    let frame = codec().encode(&wire).expect("it can be encoded");
    assert!(codec().decode::<WireQuota>(&frame, MAX_DATAGRAM_BYTES).is_err());
    assert!(codec().decode::<Digest>(&frame, MAX_DATAGRAM_BYTES).is_err());
    let quota = codec().encode(&WireQuota(1, 2, 3, 4, vec![(1, 2, 3)])).expect("it can be encoded");
    assert!(codec().decode::<WireSuspects>(&quota, MAX_DATAGRAM_BYTES).is_err());
}

/// What can't be is rejected as a whole.
#[test]
fn malformed() {
    let suspect = |ends: Vec<(u64, u8)>| WireSuspect(1, 2, 3, ends);
    let bad = [
        WireSuspects(4, None, false, Vec::new()),
        WireSuspects(3, None, false, vec![suspect(Vec::new())]),
        WireSuspects(3, None, false, vec![suspect(vec![(1, 3)])]),
        WireSuspects(3, None, false, vec![suspect(vec![(1, 0); 9])]),
        WireSuspects(3, None, false, vec![suspect(vec![(1, 0)]); MAX_WIRE_SUSPECTS + 1]),
    ];
    for wire in bad {
        assert!(SuspectsMessage::try_from(wire.clone()).is_err(), "{wire:?}");
    }
}

quickcheck! {
    fn damaged(position: usize, value: u8) -> TestResult {
        let message = SuspectsMessage { summary: None, wants_summary: false, reports: vec![report(7, vec![(1, EndState::Alone)])] };
        let mut frame = codec().encode(&WireSuspects::from(&message)).expect("it can be encoded");
        let index = position % frame.len();
        if frame[index] == value {
            return TestResult::discard();
        }
        frame[index] = value;
        TestResult::from_bool(codec().decode::<WireSuspects>(&frame, MAX_DATAGRAM_BYTES).is_err())
    }
}
