//! Quota messages in datagrams.

use quickcheck::quickcheck;
use rattanarch_accounts::QUOTA_GROUPS;
use rattanarch_accounts::QuotaGrant;
use rattanarch_accounts::QuotaRequest;
use rattanarch_accounts::QuotaShare;
use rattanarch_accounts::QuotaWant;
use rattanarch_wire::Codec;
use rattanarch_wire::Digest;
use rattanarch_wire::MAX_DATAGRAM_BYTES;
use rattanarch_wire::QuotaMessage;
use rattanarch_wire::WireQuota;

quickcheck! {
    /// Guards against fields that are swapped or lost, and against a frame that is taken for one of another kind.
    fn round_trip(sequence: u64, group: u8, flags: (bool, bool, bool), items: Vec<(u64, u32, u32)>) -> bool {
        let group = group % QUOTA_GROUPS;
        let wants = items.iter().map(|&(flow, waiting, spare)| QuotaWant { flow, waiting, spare });
        let shares = items.iter().map(|&(flow, granted, wait_ms)| QuotaShare { flow, granted, wait_ms });
        let (settled, released, long_valid) = flags;
        let accounts = wants.collect();
        let request = QuotaRequest { sequence, group, settled, released, long_valid, accounts };
        let grant = QuotaGrant { sequence, group, long_valid, accounts: shares.collect() };
        let codec = Codec::new(b"a secret for tests only");
        let pass = |wire: WireQuota| {
            let frame = codec.encode(&wire).expect("it can be encoded");
            assert!(codec.decode::<Digest>(&frame, frame.len()).is_err());
            let decoded: WireQuota = codec.decode(&frame, frame.len()).expect("it is valid");
            QuotaMessage::try_from(decoded).expect("it is valid")
        };
        pass(WireQuota::from(&request)) == QuotaMessage::Request(request)
            && pass(WireQuota::from(&grant)) == QuotaMessage::Grant(grant)
    }
}

/// Guards against a request that does not fit into a datagram, and against an unknown group or kind that is acted on.
#[test]
fn limits() {
    // As many accounts as a daemon asks for at once.
    let items = vec![(u64::MAX, 100_000, 100_000); 40];
    let codec = Codec::new(b"a secret for tests only");
    let frame = codec.encode(&WireQuota(1, u64::MAX, 15, 1, items)).expect("it can be encoded");
    assert!(frame.len() <= MAX_DATAGRAM_BYTES, "{} bytes", frame.len());
    assert!(QuotaMessage::try_from(WireQuota(1, 1, QUOTA_GROUPS, 0, vec![])).is_err());
    assert!(QuotaMessage::try_from(WireQuota(3, 1, 0, 0, vec![])).is_err());
}
