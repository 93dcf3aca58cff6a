//! Replays traces of the model `model/ownership.pml` against nodes; docs/MODEL.md lists what is compared.

mod members;

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::Duration;

use members::member;
use rattanarch_ownership::Action;
use rattanarch_ownership::Event;
use rattanarch_ownership::Message;
use rattanarch_ownership::Node;
use rattanarch_ownership::Rules;
use rattanarch_ownership::Timing;
use rattanarch_placement::rendezvous_weight;
use rattanarch_types::BootId;
use rattanarch_types::Member;
use rattanarch_types::Moment;
use rattanarch_types::Record;
use rattanarch_types::Version;

const OWNER: BootId = 1;
const TAKER: BootId = 2;
const TICK: Duration = Duration::from_secs(1);
/// Length of a lease in the recorded traces, in ticks.
const LEASE: u32 = 2;
const KEY: u64 = 0;

fn timing() -> Timing {
    let lease = TICK * LEASE;
    Timing { lease, heartbeat: lease / 3, drift_ppm: 0, ..Timing::default() }
}

/// Boot id of a member that ranks first as a sealer of the owner. Others would wait for their turns, which the
/// model does not have.
fn sealer_id() -> BootId {
    let first = (1_000..2_000).max_by_key(|id| rendezvous_weight(OWNER, *id));
    first.expect("a candidate")
}

fn witness_id(witness: usize, boot: u64) -> BootId {
    100 * (witness as u64 + 1) + boot
}

fn node(me: BootId, rules: Rules) -> Node {
    // The model's witnesses are not members, so it lacks the rule that restricts which witnesses acknowledge.
    let rules = Rules { witness_standing: false, ..rules };
    Node::new(me, member_of_term(me, 0, &[]), timing(), me).with_rules(rules)
}

/// One line of a trace.
struct Line {
    tick: u32,
    party: String,
    event: String,
    /// Writer of an update that the platform accepts; empty for other events.
    writer: String,
    numbers: Vec<u64>,
}

impl Line {
    fn parse(text: &str) -> Self {
        let mut words = text.split_whitespace();
        let tick = words.next().expect("a tick").parse().expect("a number");
        let party = words.next().expect("a well-formed trace").to_owned();
        let event = words.next().expect("a well-formed trace").to_owned();
        let writer =
            if party == "platform" { words.next().expect("a well-formed trace") } else { "" }
                .to_owned();
        let numbers = words.map(|word| word.parse().expect("a well-formed trace")).collect();
        Self { tick, party, event, writer, numbers }
    }
}

/// Numbers of comparisons, to detect traces that compare nothing.
#[derive(Debug, Default)]
struct Counts {
    answers: usize,
    seals: usize,
    leases: usize,
    /// Compared leases that had not ended.
    live: usize,
    removals: usize,
}

/// The parties of the model, each played by a node.
struct Replay {
    now: Moment,
    owner: Node,
    sealer: Node,
    witnesses: Vec<Node>,
    /// Number of the current boot of each witness, from 1.
    boots: Vec<u64>,
    record: Record,
    /// Boot ids of the witnesses that the owner is about to name.
    wanted: Vec<BootId>,
    /// Whether the owner's newest write releases its key; otherwise it changes its witnesses.
    releases: bool,
    /// Whether the model's owner has a write in flight, which its node does not have.
    has_write: bool,
    /// Newest acknowledgement by witness and term: send time of its request and the witness's boot id.
    acks: BTreeMap<(usize, Version), (Moment, BootId)>,
    /// Acknowledgements that the owner has received, in the same form.
    received_acks: BTreeMap<(usize, Version), (Moment, BootId)>,
    /// Whether acknowledgements arrive without delay in this trace.
    has_instant_acks: bool,
    rules: Rules,
    sealer_read: bool,
    sealer_wrote: bool,
    /// Version of the sealer's newest write; 0 before the first.
    last_write: Version,
    /// Whether the sealer has read again after its write; its later writes are not compared.
    sealer_done: bool,
    /// Boot id under which each witness last answered a seal.
    sealed_by: BTreeMap<usize, BootId>,
    counts: Counts,
}

impl Replay {
    fn new(witnesses: usize, first: usize, has_instant_acks: bool, rules: Rules) -> Self {
        let boots = vec![1; witnesses];
        let named: Vec<_> = (0..first).map(|witness| witness_id(witness, 1)).collect();
        let mut record = Record::new("reservas", 1);
        record.version = 1;
        record.owners[0] = Some(OWNER);
        for id in [TAKER, sealer_id()] {
            record.members.insert(id, member_of_term(id, 1, &[OWNER]));
        }
        for witness in 0..witnesses {
            let id = witness_id(witness, 1);
            record.members.insert(id, member_of_term(id, 1, &[TAKER]));
        }
        record.members.insert(OWNER, member_of_term(OWNER, 1, &named));
        let mut replay = Self {
            now: TICK,
            owner: node(OWNER, rules),
            sealer: node(sealer_id(), rules),
            witnesses: (0..witnesses).map(|witness| node(witness_id(witness, 1), rules)).collect(),
            boots,
            record,
            wanted: Vec::new(),
            releases: false,
            has_write: false,
            acks: BTreeMap::new(),
            received_acks: BTreeMap::new(),
            has_instant_acks,
            rules,
            sealer_read: false,
            sealer_wrote: false,
            last_write: 0,
            sealer_done: false,
            sealed_by: BTreeMap::new(),
            counts: Counts::default(),
        };
        replay.apply_at_owner();
        for witness in 0..witnesses {
            let event = replay.record_event();
            replay.witnesses[witness].step(replay.now, event);
        }
        replay
    }

    fn record_event(&self) -> Event {
        Event::Record { record: self.record.clone(), read_sent: None }
    }

    fn apply_at_owner(&mut self) {
        let event = self.record_event();
        self.owner.step(self.now, event);
    }

    fn replay_line(&mut self, line: &Line) {
        self.now = TICK * (line.tick + 1);
        let number = |index: usize| line.numbers[index];
        match (line.party.as_str(), line.event.as_str()) {
            ("A", "take_ack") => self.take_ack(number(0) as usize, number(1)),
            ("A", "read") => self.owner_read(),
            ("A", "dispatch") => self.compare_lease(number(0) as u32),
            ("A", "no_lease") => self.compare_lease(0),
            ("A", "write_release") => self.begin_write(true),
            ("A", "prepare_rename") => self.begin_change(number(1) as usize, number(2) as usize),
            ("platform", "accept") => self.accept(&line.writer, number(0)),
            ("N", "write_return") => self.return_key(),
            ("S", "read") => self.apply_at_sealer(),
            ("S", "take_sealed") => self.take_sealed(number(0) as usize, number(1) as u32),
            ("S", "write_removal") => self.compare_removal(true),
            ("S", "blocked") => self.compare_removal(false),
            (party, event) if party.starts_with('W') => {
                let witness = party[1..].parse().expect("a well-formed trace");
                self.witness(witness, event, &line.numbers);
            }
            _ => {}
        }
    }

    fn witness(&mut self, witness: usize, event: &str, numbers: &[u64]) {
        match event {
            "restart" => {
                self.boots[witness] = numbers[0];
                self.witnesses[witness] = node(witness_id(witness, numbers[0]), self.rules);
            }
            "ack" => self.compare_ack(witness, numbers[0], true),
            "refuse" => self.compare_ack(witness, numbers[0], false),
            "seal" => self.compare_seal(witness, numbers[0], numbers[1] as u32),
            other => panic!("unknown event {other:?} of a witness"),
        }
    }

    /// Checks that the witness acknowledges a request exactly when the model's witness does.
    fn compare_ack(&mut self, witness: usize, term: Version, acknowledged: bool) {
        let message = Message::Renew { term, sent: self.now, record: 0, load: 0 };
        let event = Event::Message { from: OWNER, message };
        let actions = self.witnesses[witness].step(self.now, event);
        let answer = sent_to(&actions, OWNER);
        let is_ack = matches!(answer, Some(Message::Ack { term: t, .. }) if *t == term);
        assert_eq!(is_ack, acknowledged, "witness {witness} answers {answer:?} to term {term}");
        if is_ack {
            let id = self.witnesses[witness].me();
            self.acks.insert((witness, term), (self.now, id));
            self.deliver_early(witness, term, id);
        }
        self.counts.answers += 1;
    }

    /// Delivers acknowledgements without delay, as some traces do, and those that the owner must not count.
    fn deliver_early(&mut self, witness: usize, term: Version, from: BootId) {
        let own = &self.owner.serving().record.members.get(&OWNER);
        let is_named = own.is_some_and(|own| own.witnesses.contains(&from));
        if self.has_instant_acks || !is_named && term == self.owner_term() {
            self.take_ack(witness, term);
        }
    }

    /// Checks that the witness promises the seal and states the same remaining time as the model's witness.
    fn compare_seal(&mut self, witness: usize, term: Version, left: u32) {
        let message = Message::Seal { owner: OWNER, term, forced: true };
        let event = Event::Message { from: sealer_id(), message };
        let actions = self.witnesses[witness].step(self.now, event);
        let Some(Message::Sealed { remaining, .. }) = sent_to(&actions, sealer_id()) else {
            panic!("witness {witness} refuses a forced seal: {actions:?}");
        };
        assert_eq!(*remaining, TICK * left, "remaining time of witness {witness}");
        let from = self.witnesses[witness].me();
        self.sealed_by.insert(witness, from);
        self.counts.seals += 1;
        let record = &self.sealer.serving().record;
        let owner = record.members.get(&OWNER);
        if owner.is_some_and(|owner| owner.term == term && !owner.witnesses.contains(&from)) {
            self.take_sealed(witness, 0);
        }
    }

    fn take_ack(&mut self, witness: usize, term: Version) {
        let (sent, from) = self.acks[&(witness, term)];
        self.received_acks.insert((witness, term), (sent, from));
        // The node does not have the change of witnesses that the model's owner is preparing.
        if term != self.owner_term() {
            return;
        }
        let message = Message::Ack { term, sent, record: 0, load: 0 };
        self.owner.step(self.now, Event::Message { from, message });
    }

    fn owner_term(&self) -> Version {
        let record = &self.owner.serving().record;
        record.members.get(&OWNER).map(|own| own.term).unwrap_or_default()
    }

    fn owner_read(&mut self) {
        let before = self.owner.serving().record.version;
        let old_term = self.owner_term();
        self.apply_at_owner();
        if self.record.version > before {
            self.has_write = false;
        }
        if self.owner_term() != old_term {
            self.carry_acks();
        }
    }

    /// Delivers the acknowledgements of a new term that arrived before its record; the model's owner keeps them.
    fn carry_acks(&mut self) {
        let term = self.owner_term();
        let kept: Vec<_> = self.received_acks.iter().filter(|((_, t), _)| *t == term).collect();
        let kept: Vec<_> = kept.into_iter().map(|(_, ack)| *ack).collect();
        for (sent, from) in kept {
            let message = Message::Ack { term, sent, record: 0, load: 0 };
            self.owner.step(self.now, Event::Message { from, message });
        }
    }

    /// Checks that the remaining time of the lease is the same as in the model.
    fn compare_lease(&mut self, left: u32) {
        self.owner.step(self.now, Event::Tick);
        if self.has_write {
            return;
        }
        let serving = self.owner.serving();
        assert_eq!(
            serving.check(self.now, KEY).is_ok(),
            left > 0,
            "at {:?}: {serving:?}",
            self.now
        );
        let until = serving.lease_end.unwrap_or_default().saturating_sub(self.now);
        assert_eq!(until, TICK * left, "lease at {:?}", self.now);
        self.counts.leases += 1;
        self.counts.live += usize::from(left > 0);
    }

    fn begin_write(&mut self, releases: bool) {
        self.has_write = true;
        self.releases = releases;
    }

    fn begin_change(&mut self, low: usize, high: usize) {
        self.begin_write(false);
        self.wanted = (low..high).map(|w| witness_id(w, self.boots[w])).collect();
    }

    fn accept(&mut self, writer: &str, version: Version) {
        self.record.version = version;
        self.record.write_id = version;
        match writer {
            "S" => {
                self.record.members.remove(&OWNER);
                self.record.owners[0] = Some(TAKER);
            }
            _ if self.releases => self.record.owners[0] = Some(TAKER),
            _ => {
                let own = member_of_term(OWNER, version, &self.wanted);
                self.record.members.insert(OWNER, own);
            }
        }
    }

    fn return_key(&mut self) {
        self.record.version += 1;
        self.record.write_id = self.record.version;
        self.record.owners[0] = Some(OWNER);
    }

    fn apply_at_sealer(&mut self) {
        self.sealer_read = true;
        // Sent before the record, so that elapsed time alone does not prove the loss when the record is applied.
        let actions = self.force_seal();
        self.note_write(&actions);
        self.sealer_done |= self.sealer_wrote;
        let event = self.record_event();
        let actions = self.sealer.step(self.now, event);
        self.note_write(&actions);
    }

    /// Has the sealer ask for a forced seal. The declaration is withdrawn and repeated each time, so that it never
    /// replaces a promise.
    fn force_seal(&mut self) -> Vec<Action> {
        let mut actions = Vec::new();
        for lost in [vec![], vec![OWNER]] {
            let event = Event::ExcludedMembers { excluded: Vec::new(), lost };
            actions.extend(self.sealer.step(self.now, event));
        }
        actions
    }

    fn take_sealed(&mut self, witness: usize, left: u32) {
        let term = self.sealer.serving().record.members[&OWNER].term;
        let message = Message::Sealed { owner: OWNER, term, remaining: TICK * left };
        let from = self.sealed_by[&witness];
        self.force_seal();
        let actions = self.sealer.step(self.now, Event::Message { from, message });
        self.note_write(&actions);
    }

    fn note_write(&mut self, actions: &[Action]) {
        for action in actions {
            if let Action::Write(record) = action {
                self.sealer_wrote = true;
                self.last_write = record.version;
            }
        }
    }

    /// Whether the platform would accept the sealer's newest write.
    fn can_remove(&self) -> bool {
        self.last_write == self.record.version + 1
    }

    /// Checks that the sealer removes the owner exactly when the model's sealer may.
    fn compare_removal(&mut self, allowed: bool) {
        let actions = self.force_seal();
        self.note_write(&actions);
        if self.sealer_done || !self.sealer_read {
            return;
        }
        assert_eq!(self.sealer_wrote, allowed, "sealer at {:?}", self.now);
        self.counts.removals += 1;
    }
}

fn member_of_term(id: BootId, term: Version, witnesses: &[BootId]) -> Member {
    Member {
        data_centre: "centro-a".to_owned(),
        fence: id,
        term,
        witnesses: witnesses.to_vec(),
        ..member(&format!("i{id}"))
    }
}

/// The message sent to `to`, if any.
fn sent_to(actions: &[Action], to: BootId) -> Option<&Message> {
    actions.iter().find_map(|action| match action {
        Action::Send { to: id, message } if *id == to => Some(message),
        _ => None,
    })
}

/// Value of a `-D` flag in the first line of a trace.
fn flag(header: &str, name: &str) -> Option<usize> {
    let prefix = format!("-D{name}=");
    let found =
        header.split_whitespace().find_map(|word| word.strip_prefix(&prefix).map(str::to_owned));
    found.map(|value| value.parse().expect("a well-formed trace"))
}

fn traces() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../model/traces")
}

/// Replays a whole trace; panics if a node decides differently from the model.
fn replay(name: &str, rules: Rules) -> Replay {
    let text = std::fs::read_to_string(traces().join(name)).expect("a well-formed trace");
    let header = text.lines().next().expect("a well-formed trace");
    let witnesses = flag(header, "NW").expect("a well-formed trace");
    let extra = witnesses % 2 + usize::from(witnesses > 2);
    let first = if header.contains("-DSWAP") { witnesses / 2 + extra } else { witnesses };
    let mut replay = Replay::new(witnesses, first, !header.contains("-DSLOW_ACK"), rules);
    for line in text.lines().filter(|line| !line.starts_with('#')) {
        replay.replay_line(&Line::parse(line));
    }
    replay
}

/// Whether the nodes follow a trace to its end and the owner then serves although the sealer has moved its key or
/// may do so.
fn violates_safety(name: &str, rules: Rules) -> bool {
    let result = std::panic::catch_unwind(|| replay(name, rules));
    result.is_ok_and(|mut replay| {
        let actions = replay.force_seal();
        replay.note_write(&actions);
        let moved = replay.record.owners[0] == Some(TAKER) || replay.can_remove();
        moved && replay.owner.serving().check(replay.now, KEY).is_ok()
    })
}

#[test]
fn random_runs() {
    let mut total = Counts::default();
    for seed in 1..=16 {
        for kind in ["three", "lasting", "single", "swap"] {
            let name = format!("{kind}-{seed}.txt");
            let counts = replay(&name, Rules::default()).counts;
            total.answers += counts.answers;
            total.seals += counts.seals;
            total.leases += counts.leases;
            total.live += counts.live;
            total.removals += counts.removals;
        }
    }
    assert!(total.answers > 400 && total.seals > 200, "too few comparisons: {total:?}");
    assert!(total.leases > 60 && total.live > 10, "too few comparisons: {total:?}");
    assert!(total.removals > 60, "too few comparisons: {total:?}");
}

#[test]
fn counter_examples() {
    let names = [
        "from_receipt",
        "no_boot_owner",
        "no_boot_sealer",
        "no_majority_owner",
        "no_majority_sealer",
        "no_seal_memory",
        "no_term",
        "no_wait",
    ];
    for name in names {
        assert!(!violates_safety(&format!("{name}.txt"), Rules::default()), "{name}");
    }
}

#[test]
fn removed_rules() {
    let whole = Rules::default();
    let removed = [
        ("from_receipt", Rules { count_from_send: false, ..whole }),
        ("no_majority_owner", Rules { count_majority: false, ..whole }),
        ("no_seal_memory", Rules { keep_promises: false, ..whole }),
        ("no_wait", Rules { wait_out_seal: false, ..whole }),
    ];
    for (name, rules) in removed {
        assert!(violates_safety(&format!("{name}.txt"), rules), "{name} does not violate safety");
    }
}
