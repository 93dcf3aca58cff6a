//! Which versions of the shared state daemons know, and how they catch up with each other.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use rattanarch_adapter::StoredRecord;
use rattanarch_dissemination::FETCH_IDLE_TIMEOUT;
use rattanarch_dissemination::FOLLOWER_TIMEOUT;
use rattanarch_dissemination::Fetch;
use rattanarch_dissemination::MissingState;
use rattanarch_dissemination::VersionHash;
use rattanarch_dissemination::fetch_timeout;
use rattanarch_process::random_index;
use rattanarch_types::Record;
use rattanarch_types::Version;
use rattanarch_types::hash_key;
use rattanarch_wire::Digest;

use crate::connection::FetchError;
use crate::connection::ResponseBody;
use crate::connection::post_large;
use crate::connection::read_json;
use crate::process::Shared;
use crate::process::learn_configuration;
use crate::process::learn_configuration_changes;
use crate::process::learn_evacuated;
use crate::process::learn_record;
use crate::process::learn_record_changes;
use crate::request::responses;
use crate::version::Snapshot;
use crate::version::Versions;

/// Path at which a daemon answers what it knows.
pub(crate) const STATE_PATH: &str = "/rattanarch/state";

/// Time between two digests to a peer drawn at random. News has to be everywhere within 2 s, also
/// where the store can't be reached.
const INTERVAL: Duration = Duration::from_millis(500);

/// Peers that are told at once of something new.
const FANOUT: usize = 2;

/// Largest state that is taken from a peer, in bytes: the values that the store holds.
const MAX_STATE: usize = 8 << 20;

/// Tells a peer drawn at random what is known, as long as the process lives.
pub(crate) async fn gossip(shared: Rc<Shared>) {
    loop {
        tokio::time::sleep(INTERVAL).await;
        tell(&shared, &peers(&shared), 1);
    }
}

/// Tells a few peers at once, after something new was learned.
pub(crate) fn push_digest(shared: &Shared) {
    tell(shared, &peers(shared), FANOUT);
}

/// Tells those members at once that have to act on what `record` changed since `older`.
pub(crate) fn push_digest_to_affected(shared: &Shared, record: &Record, older: &Record) {
    let digest = Digest { affects_receiver: true, ..digest(shared) };
    let concerned = record.affected_since(older);
    let members = concerned.iter().filter_map(|id| record.members.get(id));
    send(shared, &digest, members.map(|member| member.peer));
}

/// Tells daemons that they have to act on the newest record: this one has joined.
pub(crate) fn announce_join(shared: &Shared, peers: &[SocketAddr]) {
    let digest = Digest { affects_receiver: true, ..digest(shared) };
    send(shared, &digest, peers.iter().copied());
}

/// Tells those daemons of the group that takes its word of the store from this one, unless this one has not
/// reached the store itself lately.
pub(crate) fn push_digest_to_group(shared: &Shared, group: &[SocketAddr]) {
    let digest = digest(shared);
    if digest.age_ms.is_some() {
        send(shared, &digest, group.iter().copied());
    }
}

/// Tells `count` of `peers`, neighbours in their list that begin at one drawn at random.
fn tell(shared: &Shared, peers: &[SocketAddr], count: usize) {
    if peers.is_empty() {
        return;
    }
    let digest = digest(shared);
    let from = peers.iter().copied().cycle().skip(random_index(peers.len()));
    send(shared, &digest, from.take(count.min(peers.len())));
}

/// Sends `digest` to `peers`, but not to this daemon itself.
fn send(shared: &Shared, digest: &Digest, peers: impl IntoIterator<Item = SocketAddr>) {
    let own = shared.settings.listen.datagrams;
    for peer in peers.into_iter().filter(|peer| *peer != own) {
        shared.socket.tell(digest, peer);
    }
}

/// Where other daemons take datagrams.
fn peers(shared: &Shared) -> Vec<SocketAddr> {
    let own = shared.settings.listen.datagrams;
    shared.knowledge.borrow().other_members(own).map(|member| member.peer).collect()
}

fn digest(shared: &Shared) -> Digest {
    let versions = shared.knowledge.borrow().versions();
    let age = shared.follower.last_confirmed().map(|at| shared.now().saturating_sub(at));
    Digest {
        state_address: shared.settings.listen.peers,
        configuration: versions.configuration,
        evacuated: versions.evacuated,
        records: versions.records.iter().map(|(name, v)| (hash_key(name), *v)).collect(),
        affects_receiver: false,
        age_ms: age.filter(|age| *age < FOLLOWER_TIMEOUT).map(|age| age.as_millis() as u32),
        follows: shared.follower.follows() && !shared.is_store_unreachable(),
    }
}

/// Takes a digest: asks its sender for what is newer, or tells it what it lacks.
pub(crate) fn hear(shared: &Rc<Shared>, theirs: &Digest, from: SocketAddr) {
    let own = digest(shared);
    if let Some(age) = theirs.age_ms
        && !theirs.has_newer_operator_state(&own)
    {
        // What this daemon knows is as new as what was confirmed.
        let at = shared.now().saturating_sub(Duration::from_millis(u64::from(age)));
        shared.follower.handle_confirmation(shared, at, theirs.follows.then_some(from));
    }
    if theirs.is_newer(&own) {
        if theirs.is_urgent(&own) || takes_records(shared) {
            want(shared, theirs.state_address, Word::Told(theirs.clone()));
        }
    } else if own.is_newer(theirs) {
        shared.socket.tell(&own, from);
    }
}

/// Whether records that do not concern this daemon are to be fetched again.
fn takes_records(shared: &Shared) -> bool {
    let lacking = shared.knowledge.borrow().lacks_owners();
    shared.control.borrow_mut().interest.should_fetch(shared.now(), lacking)
}

/// Asks members of `service` for newer records, since a request has found no owner by the known ones; returns how
/// long to wait for their answers.
pub(crate) fn refresh_records(shared: &Shared, service: &str) -> Duration {
    let mut control = shared.control.borrow_mut();
    let asks = control.interest.owner_missing(shared.now());
    let patience = control.interest.remaining_wait(shared.now());
    drop(control);
    if asks {
        tell(shared, &members(shared, service), FANOUT);
    }
    patience
}

/// Where members of `service` take datagrams; all other daemons if none of it is known.
fn members(shared: &Shared, service: &str) -> Vec<SocketAddr> {
    let own = shared.settings.listen.datagrams;
    let knowledge = shared.knowledge.borrow();
    let record = knowledge.record(service).into_iter();
    let members = record.flat_map(|record| record.members.values()).map(|member| member.peer);
    let members: Vec<SocketAddr> = members.filter(|peer| *peer != own).collect();
    drop(knowledge);
    if members.is_empty() { peers(shared) } else { members }
}

/// Daemons that are asked one after the other by one that has just started.
const FIRST_PULLS: usize = 3;

/// Fetches from a few daemons, one after the other, until this one knows what operators want.
pub(crate) async fn fetch_initial_state(shared: &Rc<Shared>) {
    let own = shared.settings.listen.datagrams;
    for _ in 0..FIRST_PULLS {
        let peers: Vec<SocketAddr> =
            shared.knowledge.borrow().other_members(own).map(|member| member.caller).collect();
        if peers.is_empty() || shared.knowledge.borrow().is_operator_state_known() {
            return;
        }
        let peer = peers[random_index(peers.len())];
        let Some(fetch) = shared.control.borrow_mut().fetches.begin(peer) else { return };
        pull(shared, fetch).await;
    }
}

/// Why a peer is to be asked.
#[derive(Clone, Debug)]
pub(crate) enum Word {
    /// It has told what it knows.
    Told(Digest),
    /// It has acted by a newer record than this daemon knows.
    Ahead,
    /// What it told of a configuration after this version was of no use; it is asked for the whole.
    Whole(Version),
}

impl Word {
    fn lack(&self, own: &Digest) -> MissingState {
        match self {
            Self::Told(theirs) => MissingState {
                configuration: newer(theirs.configuration, own.configuration),
                evacuated: newer(theirs.evacuated, own.evacuated),
                records: theirs.newer_records(own),
            },
            Self::Ahead => MissingState { records: 1, ..MissingState::default() },
            Self::Whole(known) if own.configuration > *known => MissingState::default(),
            Self::Whole(known) => {
                MissingState { configuration: *known + 1, ..MissingState::default() }
            }
        }
    }
}

fn newer(theirs: u64, own: u64) -> u64 {
    if theirs > own { theirs } else { 0 }
}

/// Fetches records that the daemon at `peer` knows and this one does not, once there is a place for it.
pub(crate) fn schedule_record_fetch(shared: &Rc<Shared>, peer: SocketAddr) {
    want(shared, peer, Word::Ahead);
}

fn want(shared: &Rc<Shared>, peer: SocketAddr, word: Word) {
    shared.control.borrow_mut().fetches.announce(peer, word);
    begin_fetches(shared);
}

fn begin_fetches(shared: &Rc<Shared>) {
    let own = digest(shared);
    let next = || shared.control.borrow_mut().fetches.next(|word| word.lack(&own));
    while let Some(fetch) = next() {
        let shared = Rc::clone(shared);
        tokio::task::spawn_local(async move { pull(&shared, fetch).await });
    }
}

/// Carries out a fetch, and begins those that wait for its place.
async fn pull(shared: &Rc<Shared>, asked: Fetch) {
    let (peer, base) = (asked.peer, shared.knowledge.borrow().base());
    let outcome = match fetch(shared, asked).await {
        Ok(snapshot) => take(shared, snapshot, asked, base),
        Err(reason) => {
            log::warn!(peer:% = peer, reason:% = reason; "state not fetched");
            match reason {
                FetchError::Failed(_) => "failed",
                FetchError::Malformed(_) => "spoilt",
            }
        }
    };
    shared.meters.state_fetch(outcome);
    if matches!(outcome, "spoilt" | "misfit") && asked.configuration && base.hash != 0 {
        shared.knowledge.borrow_mut().distrust_changes();
        shared.control.borrow_mut().fetches.announce(peer, Word::Whole(base.version));
    }
    shared.control.borrow_mut().fetches.end(peer, outcome == "taken");
    begin_fetches(shared);
}

async fn fetch(shared: &Shared, asked: Fetch) -> Result<Snapshot, FetchError> {
    let mut versions = shared.knowledge.borrow().versions();
    if !asked.configuration {
        versions.configuration = Version::MAX;
    }
    let peer = asked.peer;
    let megabits = narrower(shared, peer);
    let pool = Rc::clone(&shared.peers.get(peer).pool);
    let time = |bytes| fetch_timeout(bytes, megabits);
    post_large(shared, (&pool, peer), STATE_PATH, &versions, MAX_STATE, FETCH_IDLE_TIMEOUT, time)
        .await
}

/// Rate of the narrower of this machine's link and that of the daemon at `peer`, in megabits a second; 0 if neither
/// is known.
fn narrower(shared: &Shared, peer: SocketAddr) -> f64 {
    let knowledge = shared.knowledge.borrow();
    let member = knowledge.members().find(|member| member.caller == peer);
    let theirs = member.map(|member| f64::from(member.link)).filter(|link| *link > 0.0);
    let own = Some(shared.settings.link).filter(|link| *link > 0.0);
    own.into_iter().chain(theirs).reduce(f64::min).unwrap_or_default()
}

/// Takes what was fetched by one who knew the configuration `base`; returns the outcome.
fn take(shared: &Rc<Shared>, snapshot: Snapshot, asked: Fetch, base: VersionHash) -> &'static str {
    let mut outcome = "taken";
    if let Some(spec) = snapshot.configuration {
        learn_configuration(shared, spec, "peer");
    } else if !snapshot.configuration_changes.is_empty() {
        if !learn_configuration_changes(shared, snapshot.configuration_changes, base) {
            log::warn!(peer:% = asked.peer, version = base.version;
                "changes of the configuration do not fit");
            outcome = "misfit";
        }
    } else if snapshot.put_off {
        log::info!(peer:% = asked.peer; "configuration put off");
        outcome = "put-off";
    }
    if let Some(evacuated) = snapshot.evacuated {
        learn_evacuated(shared, evacuated, "peer");
    }
    for (revision, spec) in snapshot.records {
        match StoredRecord::read(&spec) {
            Ok(record) => learn_record(shared, record, revision, None),
            Err(error) => log::warn!(reason:% = error; "peer's record malformed"),
        }
    }
    for (revision, changes) in snapshot.changes {
        learn_record_changes(shared, changes, revision);
    }
    outcome
}

/// Answers a peer that asks for what is newer than its versions.
pub(crate) async fn answer_state_fetch(
    shared: &Rc<Shared>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let Some(mut versions) = read_json::<Versions>(request, MAX_STATE).await else {
        return responses::plain(StatusCode::BAD_REQUEST, String::new());
    };
    let (now, link) = (shared.now(), shared.settings.link);
    let size = shared.knowledge.borrow().configuration_size(&versions);
    let put_off = !shared.control.borrow_mut().outlet.admit(now, size, link);
    if put_off {
        versions.configuration = Version::MAX;
    }
    let newer = shared.knowledge.borrow().newer(&versions);
    responses::serialized(&Snapshot { put_off, ..newer })
}
