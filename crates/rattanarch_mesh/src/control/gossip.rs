//! Gossip of the versions of the shared state that daemons have, and fetches of newer state from peers.

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
use rattanarch_ownership::Node;
use rattanarch_process::random_index;
use rattanarch_types::BootId;
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
use crate::process::learn_evacuated_from_peer;
use crate::process::learn_record;
use crate::process::learn_record_changes;
use crate::request::responses;
use crate::version::Snapshot;
use crate::version::Versions;

/// Path at which a daemon serves its shared state.
pub(crate) const STATE_PATH: &str = "/rattanarch/state";

/// Time between two digests to a random peer. Changes have to reach every daemon within 2 s, even those that can't
/// reach the store.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(500);

/// Number of peers that get a digest as soon as this daemon learns something new.
const FANOUT: usize = 2;

/// Maximum size of the state fetched from a peer: it consists of the values in the store.
const MAX_STATE_BYTES: usize = 8 << 20;

/// Sends a digest to a random peer at each interval, until the process ends.
pub(crate) async fn gossip(shared: Rc<Shared>) {
    loop {
        tokio::time::sleep(GOSSIP_INTERVAL).await;
        push_to_random(&shared, &peer_addresses(&shared), 1);
    }
}

/// Sends a digest to a few random peers after this daemon has learned something new.
pub(crate) fn push_digest(shared: &Shared) {
    push_to_random(shared, &peer_addresses(shared), FANOUT);
}

/// Sends a digest to the members that have to act on the changes of `record` since `older`.
pub(crate) fn push_digest_to_affected(shared: &Shared, record: &Record, older: &Record) {
    let digest = Digest { affects_receiver: true, ..digest(shared) };
    let affected = record.affected_since(older);
    let members = affected.iter().filter_map(|id| record.members.get(id));
    send_digest(shared, &digest, members.map(|member| member.peer));
}

/// Sends all members of `record` a digest that marks it as one to act on.
pub(crate) fn push_digest_to_members(shared: &Shared, record: &Record) {
    let digest = Digest { affects_receiver: true, ..digest(shared) };
    send_digest(shared, &digest, record.members.values().map(|member| member.peer));
}

/// Sends `peers` a digest that marks the newest record as one to act on, after this daemon has joined.
pub(crate) fn announce_join(shared: &Shared, peers: &[SocketAddr]) {
    let digest = Digest { affects_receiver: true, ..digest(shared) };
    send_digest(shared, &digest, peers.iter().copied());
}

/// Sends a digest to the daemons of `group`, which rely on this daemon to follow the store, unless its last confirmed
/// contact with the store is too long ago.
pub(crate) fn push_digest_to_group(shared: &Shared, group: &[SocketAddr]) {
    let digest = digest(shared);
    if digest.age_ms.is_some() {
        send_digest(shared, &digest, group.iter().copied());
    }
}

/// Sends a digest to `count` of `peers`: consecutive ones, from a random position on.
fn push_to_random(shared: &Shared, peers: &[SocketAddr], count: usize) {
    if peers.is_empty() {
        return;
    }
    let digest = digest(shared);
    let chosen = peers.iter().copied().cycle().skip(random_index(peers.len()));
    send_digest(shared, &digest, chosen.take(count.min(peers.len())));
}

/// Sends `digest` to `peers`, except to this daemon itself.
fn send_digest(shared: &Shared, digest: &Digest, peers: impl IntoIterator<Item = SocketAddr>) {
    let own = shared.settings.listen.datagrams;
    for peer in peers.into_iter().filter(|peer| *peer != own) {
        shared.socket.send_digest(digest, peer);
    }
}

/// Datagram addresses of all other daemons.
pub(super) fn peer_addresses(shared: &Shared) -> Vec<SocketAddr> {
    let own = shared.settings.listen.datagrams;
    shared.knowledge.borrow().other_members(own).map(|member| member.peer).collect()
}

fn digest(shared: &Shared) -> Digest {
    let versions = shared.knowledge.borrow().versions();
    let age = shared.follower.last_confirmed().map(|at| shared.now().saturating_sub(at));
    Digest {
        state_address: shared.settings.listen.peers,
        configuration: versions.configuration,
        evacuated: versions.evacuated.into(),
        records: versions.records.iter().map(|(name, v)| (hash_key(name), *v)).collect(),
        affects_receiver: false,
        age_ms: age.filter(|age| *age < FOLLOWER_TIMEOUT).map(|age| age.as_millis() as u32),
        follows: shared.follower.follows() && !shared.is_store_unreachable(),
    }
}

/// Handles a peer's digest: fetches what is newer there, or sends this daemon's digest if that peer lacks something.
pub(crate) fn handle_digest(shared: &Rc<Shared>, theirs: &Digest, from: SocketAddr) {
    let own = digest(shared);
    if let Some(age) = theirs.age_ms
        && !theirs.has_newer_operator_state(&own)
    {
        // The sender has no newer operator state, so that its confirmation holds for this daemon's state too.
        let at = shared.now().saturating_sub(Duration::from_millis(u64::from(age)));
        shared.follower.handle_confirmation(shared, at, theirs.follows.then_some(from));
    }
    if theirs.is_newer(&own) {
        if theirs.is_urgent(&own) || should_fetch_records(shared) {
            schedule_fetch(shared, theirs.state_address, Announcement::Digest(theirs.clone()));
        }
    } else if own.is_newer(theirs) {
        shared.socket.send_digest(&own, from);
    }
}

/// Whether to fetch records now whose changes do not affect this daemon.
fn should_fetch_records(shared: &Shared) -> bool {
    let has_unowned = shared.knowledge.borrow().has_unowned_slices();
    shared.control.borrow_mut().fetch_policy.should_fetch(shared.now(), has_unowned)
}

/// Called when a request finds no owner in the known records: queries members of `service` for newer ones, unless they
/// were queried just before. Returns how long to wait for the result.
pub(crate) fn refresh_records(shared: &Shared, service: &str) -> Duration {
    let mut control = shared.control.borrow_mut();
    let is_due = control.fetch_policy.owner_missing(shared.now());
    let wait = control.fetch_policy.remaining_wait(shared.now());
    drop(control);
    if is_due {
        push_to_random(shared, &member_addresses(shared, service), FANOUT);
    }
    wait
}

/// Datagram addresses of the members of `service`, or of all other daemons if no member is known.
fn member_addresses(shared: &Shared, service: &str) -> Vec<SocketAddr> {
    let own = shared.settings.listen.datagrams;
    let knowledge = shared.knowledge.borrow();
    let record = knowledge.record(service).into_iter();
    let members = record.flat_map(|record| record.members.values()).map(|member| member.peer);
    let members: Vec<SocketAddr> = members.filter(|peer| *peer != own).collect();
    drop(knowledge);
    if members.is_empty() { peer_addresses(shared) } else { members }
}

/// Number of peers that a starting daemon fetches from, one after the other.
const INITIAL_FETCHES: usize = 3;

/// Fetches the state from a few random peers, one after the other, until this daemon has a configuration and the set
/// of evacuated data centres.
pub(crate) async fn fetch_initial_state(shared: &Rc<Shared>) {
    let own = shared.settings.listen.datagrams;
    for _ in 0..INITIAL_FETCHES {
        let peers: Vec<SocketAddr> =
            shared.knowledge.borrow().other_members(own).map(|member| member.caller).collect();
        if peers.is_empty() || shared.knowledge.borrow().is_operator_state_known() {
            return;
        }
        let peer = peers[random_index(peers.len())];
        let Some(fetch) = shared.control.borrow_mut().fetches.begin(peer) else { return };
        run_fetch(shared, fetch).await;
    }
}

/// Reason to fetch from a peer.
#[derive(Clone, Debug)]
pub(crate) enum Announcement {
    /// The peer has sent its digest.
    Digest(Digest),
    /// The peer has acted on a newer record than this daemon knows.
    NewerRecord,
    /// The peer's changes to this configuration version could not be used, so that the full configuration is needed.
    FullConfiguration(Version),
}

impl Announcement {
    /// The announced state that a daemon with the digest `own` lacks.
    fn missing(&self, own: &Digest) -> MissingState {
        match self {
            Self::Digest(theirs) => MissingState {
                configuration: version_if_newer(theirs.configuration, own.configuration),
                evacuated: version_if_newer(theirs.evacuated, own.evacuated),
                records: theirs.newer_records(own),
            },
            Self::NewerRecord => MissingState { records: 1, ..MissingState::default() },
            Self::FullConfiguration(known) if own.configuration > *known => MissingState::default(),
            Self::FullConfiguration(known) => {
                MissingState { configuration: *known + 1, ..MissingState::default() }
            }
        }
    }
}

/// `theirs` if it is newer than `own`, otherwise 0.
fn version_if_newer(theirs: u64, own: u64) -> u64 {
    if theirs > own { theirs } else { 0 }
}

/// Fetches newer records from the daemon at `peer`, once the fetch scheduler allows it.
pub(crate) fn schedule_record_fetch(shared: &Rc<Shared>, peer: SocketAddr) {
    schedule_fetch(shared, peer, Announcement::NewerRecord);
}

fn schedule_fetch(shared: &Rc<Shared>, peer: SocketAddr, announcement: Announcement) {
    shared.control.borrow_mut().fetches.announce(peer, announcement);
    start_fetches(shared);
}

fn start_fetches(shared: &Rc<Shared>) {
    let own = digest(shared);
    let next_fetch =
        || shared.control.borrow_mut().fetches.next(|announcement| announcement.missing(&own));
    while let Some(fetch) = next_fetch() {
        let shared = Rc::clone(shared);
        tokio::task::spawn_local(async move { run_fetch(&shared, fetch).await });
    }
}

/// Runs a fetch, then starts those that waited for it.
async fn run_fetch(shared: &Rc<Shared>, request: Fetch) {
    let (peer, base) = (request.peer, shared.knowledge.borrow().base());
    let outcome = match fetch(shared, request).await {
        Ok(snapshot) => apply_snapshot(shared, snapshot, request, base),
        Err(reason) => {
            log::warn!(peer:% = peer, reason:% = reason; "state not fetched");
            match reason {
                FetchError::Failed(_) => "failed",
                FetchError::Malformed(_) => "spoilt",
            }
        }
    };
    shared.meters.state_fetch(outcome);
    if matches!(outcome, "spoilt" | "misfit") && request.configuration && base.hash != 0 {
        shared.knowledge.borrow_mut().require_full_configuration();
        shared
            .control
            .borrow_mut()
            .fetches
            .announce(peer, Announcement::FullConfiguration(base.version));
    }
    shared.control.borrow_mut().fetches.end(peer, outcome == "taken");
    start_fetches(shared);
}

/// Fetches from the daemon at `peer` what it knows that is newer, except for the configuration; returns the boot id under
/// which it takes part in ownership, or `None` if it did not respond in time.
pub(crate) async fn query_state(shared: &Rc<Shared>, peer: SocketAddr) -> Option<BootId> {
    let request = Fetch { peer, configuration: false };
    match fetch(shared, request).await {
        Ok(snapshot) => {
            let boot = snapshot.boot;
            apply_snapshot(shared, snapshot, request, VersionHash::default());
            Some(boot)
        }
        Err(reason) => {
            log::warn!(peer:% = peer, reason:% = reason; "state not fetched");
            None
        }
    }
}

async fn fetch(shared: &Shared, request: Fetch) -> Result<Snapshot, FetchError> {
    let mut versions = shared.knowledge.borrow().versions();
    if !request.configuration {
        versions.configuration = Version::MAX;
    }
    let peer = request.peer;
    let megabits_per_s = slower_link(shared, peer);
    let pool = Rc::clone(&shared.peers.get(peer).pool);
    let timeout = |bytes| fetch_timeout(bytes, megabits_per_s);
    post_large(
        shared,
        (&pool, peer),
        STATE_PATH,
        &versions,
        MAX_STATE_BYTES,
        FETCH_IDLE_TIMEOUT,
        timeout,
    )
    .await
}

/// Rate of the slower of this machine's link and that of the daemon at `peer`, in megabits a second; 0 if neither
/// is known.
fn slower_link(shared: &Shared, peer: SocketAddr) -> f64 {
    let knowledge = shared.knowledge.borrow();
    let member = knowledge.members().find(|member| member.caller == peer);
    let theirs =
        member.map(|member| f64::from(member.link_megabits_per_s)).filter(|link| *link > 0.0);
    let own = Some(shared.settings.link).filter(|link| *link > 0.0);
    own.into_iter().chain(theirs).reduce(f64::min).unwrap_or_default()
}

/// Applies a fetched snapshot, whose configuration changes are relative to `base`; returns the outcome for the metric.
fn apply_snapshot(
    shared: &Rc<Shared>,
    snapshot: Snapshot,
    request: Fetch,
    base: VersionHash,
) -> &'static str {
    let mut outcome = "taken";
    if let Some(spec) = snapshot.configuration {
        learn_configuration(shared, spec, "peer");
    } else if !snapshot.configuration_changes.is_empty() {
        if !learn_configuration_changes(shared, snapshot.configuration_changes, base) {
            log::warn!(peer:% = request.peer, version = base.version;
                "configuration changes do not apply");
            outcome = "misfit";
        }
    } else if snapshot.put_off {
        log::info!(peer:% = request.peer; "configuration deferred by peer");
        outcome = "put-off";
    }
    if let Some(evacuated) = snapshot.evacuated {
        learn_evacuated_from_peer(shared, evacuated);
    }
    for (position, spec) in snapshot.records {
        match StoredRecord::decode(&spec) {
            Ok(record) => learn_record(shared, record, position, None),
            Err(error) => log::warn!(reason:% = error; "peer's record malformed"),
        }
    }
    for (position, changes) in snapshot.changes {
        learn_record_changes(shared, changes, position);
    }
    outcome
}

/// Responds to a peer with the state that is newer than its versions.
pub(crate) async fn answer_state_fetch(
    shared: &Rc<Shared>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let Some(mut versions) = read_json::<Versions>(shared, request, MAX_STATE_BYTES).await else {
        return responses::plain(StatusCode::BAD_REQUEST, String::new());
    };
    let (now, link) = (shared.now(), shared.settings.link);
    let size = shared.knowledge.borrow().configuration_size(&versions);
    let deferred = !shared.control.borrow_mut().link_pacer.admit(now, size, link);
    if deferred {
        versions.configuration = Version::MAX;
    }
    let newer = shared.knowledge.borrow().newer_than(&versions);
    let boot = shared.control.borrow().node.as_ref().map(Node::me).unwrap_or_default();
    responses::serialized(&Snapshot { put_off: deferred, boot, ..newer })
}
