//! State that a node keeps in every phase.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use rattanarch_placement::Spread;
use rattanarch_types::BootId;
use rattanarch_types::KeyHash;
use rattanarch_types::Member;
use rattanarch_types::Moment;
use rattanarch_types::Record;
use rattanarch_types::SliceId;
use rattanarch_types::Version;
use rattanarch_types::WriteId;

use crate::Action;
use crate::Message;
use crate::Rules;
use crate::Timing;
use crate::attempt::Attempt;
use crate::backoff::Backoff;
use crate::contention::Contention;
use crate::platform_contact::PlatformContact;
use crate::rng::Rng;

/// Heartbeats for which a member that has just joined counts as alive: longer than a fleet takes to restart after all
/// of its processes were lost.
const RECENT_JOIN_HEARTBEATS: u32 = 12;

/// The applied record, the update in flight, if any, and the actions of the current step.
#[derive(Debug)]
pub(crate) struct Core {
    pub(crate) me: BootId,
    pub(crate) member: Member,
    pub(crate) timing: Timing,
    pub(crate) rules: Rules,
    /// How slices are distributed over members.
    pub(crate) spread: Spread,
    /// Whether joins, departures and changes of witnesses are delegated to daemons that write them in batches, as well
    /// as releases and takeovers while the record is contended.
    pub(crate) batching: bool,
    pub(crate) rng: Rng,
    /// Applied record; its version only increases. `None` until the first is known.
    pub(crate) record: Option<Arc<Record>>,
    /// When `record` was applied.
    pub(crate) applied_at: Moment,
    /// When a record with a new member was last applied.
    pub(crate) last_join: Moment,
    /// Members of the first record that this process knew, if that one is older than the node's first record.
    pub(crate) initial_members: Option<BTreeSet<BootId>>,
    /// Members that have joined since this process began to follow the record, and when the node learned of each.
    joined_members: BTreeMap<BootId, Moment>,
    /// Since when a peer is known to have a newer record.
    behind_since: Option<Moment>,
    /// When a peer was last asked for a newer record.
    last_fetch: Option<Moment>,
    pub(crate) platform: PlatformContact,
    pub(crate) attempt: Option<Attempt>,
    /// This node's last update that the platform accepted.
    pub(crate) accepted: Option<WriteId>,
    pub(crate) backoff: Backoff,
    pub(crate) contention: Contention,
    /// Members that are to own nothing and to witness no leases, by the configuration.
    pub(crate) excluded: BTreeSet<BootId>,
    /// Witnesses of current members that are no longer members themselves, and when this node learned of each.
    pub(crate) ended_witnesses: BTreeMap<BootId, Moment>,
    /// Members declared lost by an operator, and when this node learned of it.
    pub(crate) lost: BTreeMap<BootId, Moment>,
    /// When this process last resumed after a pause: silence of others before that proves nothing.
    pub(crate) resumed_at: Moment,
    /// Last known rates of members in requests a second, this one included.
    pub(crate) loads: BTreeMap<BootId, u32>,
    /// Rates of the hottest keys that this member owns, in requests a second.
    pub(crate) key_rates: BTreeMap<KeyHash, u32>,
    /// Whether `key_rates` changed since they were last evaluated.
    pub(crate) rates_changed: bool,
    /// Slices that the daemon wants to move to other members because of load.
    pub(crate) planned_moves: BTreeMap<SliceId, BootId>,
    /// Whether a release of slices may begin in this step; see [`Event::ReleaseWindow`](crate::Event::ReleaseWindow).
    pub(crate) release_window: bool,
    /// Whether the process was told to stop.
    pub(crate) stopping: bool,
    pub(crate) actions: Vec<Action>,
}

impl Core {
    pub(crate) fn new(me: BootId, member: Member, timing: Timing, seed: u64) -> Self {
        Self {
            me,
            member,
            timing,
            rules: Rules::default(),
            spread: Spread::default(),
            batching: false,
            rng: Rng::new(seed),
            record: None,
            applied_at: Moment::ZERO,
            last_join: Moment::ZERO,
            initial_members: None,
            joined_members: BTreeMap::new(),
            behind_since: None,
            last_fetch: None,
            platform: PlatformContact::default(),
            attempt: None,
            accepted: None,
            backoff: Backoff::default(),
            contention: Contention::default(),
            excluded: BTreeSet::new(),
            ended_witnesses: BTreeMap::new(),
            lost: BTreeMap::new(),
            resumed_at: Moment::ZERO,
            loads: BTreeMap::new(),
            key_rates: BTreeMap::new(),
            rates_changed: false,
            planned_moves: BTreeMap::new(),
            release_window: false,
            stopping: false,
            actions: Vec::new(),
        }
    }

    /// This member in the applied record.
    pub(crate) fn own_member(&self) -> Option<&Member> {
        self.record.as_ref()?.members.get(&self.me)
    }

    pub(crate) fn version(&self) -> u64 {
        self.record.as_ref().map(|record| record.version).unwrap_or_default()
    }

    pub(crate) fn send(&mut self, to: BootId, message: Message) {
        self.actions.push(Action::Send { to, message });
    }

    /// Reads the record from the platform, unless a read was sent within half a heartbeat.
    pub(crate) fn request_read(&mut self, now: Moment) {
        self.request_read_every(now, self.timing.heartbeat / 2);
    }

    /// Reads the record from the platform, unless a read was sent within `interval`.
    pub(crate) fn request_read_every(&mut self, now: Moment, interval: Duration) {
        if self.platform.should_read(now, interval) {
            self.actions.push(Action::Read);
        }
    }

    /// Whether the platform answered this node or another daemon within the last two heartbeats; sends a read otherwise.
    ///
    /// A change that can't be written is not begun: its seals and unserved slices would interrupt service in vain.
    pub(crate) fn is_platform_reachable(&mut self, now: Moment) -> bool {
        let reachable =
            self.platform.reachable_since(now.saturating_sub(self.timing.heartbeat * 2));
        if !reachable {
            self.request_read(now);
        }
        reachable
    }

    /// Handles the record version and load that come with a peer's message.
    pub(crate) fn peer_heard(&mut self, now: Moment, from: BootId, version: Version, load: u32) {
        self.loads.insert(from, load);
        self.catch_up(now, from, version);
    }

    /// Replaces the members that are excluded or declared lost; a loss counts from when this node first learned of it.
    pub(crate) fn set_excluded(&mut self, now: Moment, excluded: Vec<BootId>, lost: Vec<BootId>) {
        self.excluded = excluded.into_iter().collect();
        let known = std::mem::take(&mut self.lost);
        let since = |id: BootId| (id, known.get(&id).copied().unwrap_or(now));
        self.lost = lost.into_iter().map(since).collect();
    }

    /// Whether an operator has declared `owner` lost, and any lease that it had then has lapsed since.
    pub(crate) fn is_lapsed(&self, now: Moment, owner: BootId) -> bool {
        let lease = self.timing.with_drift(self.timing.lease);
        self.lost.get(&owner).is_some_and(|learned| now >= *learned + lease)
    }

    /// Whether a release of slices may begin in this step.
    pub(crate) fn may_release(&self) -> bool {
        self.release_window || self.spread == Spread::Even
    }

    /// Sets this member's own load.
    pub(crate) fn set_load(
        &mut self,
        slices: &BTreeMap<SliceId, u32>,
        keys: BTreeMap<KeyHash, u32>,
    ) {
        let total = slices.values().fold(0, |total: u32, load| total.saturating_add(*load));
        self.loads.insert(self.me, total);
        self.key_rates = keys;
        self.rates_changed = true;
    }

    /// Fetches the record if the peer `from` has applied a newer one: from that peer, since each call to the platform
    /// is charged, and from the platform if peers have not helped within two heartbeats.
    pub(crate) fn catch_up(&mut self, now: Moment, from: BootId, version: Version) {
        if version <= self.version() {
            return;
        }
        let interval = self.timing.heartbeat / 2;
        let since = *self.behind_since.get_or_insert(now);
        if now >= since + self.timing.heartbeat * 2 {
            self.request_read(now);
        } else if self.last_fetch.is_none_or(|fetched| now >= fetched + interval) {
            self.last_fetch = Some(now);
            self.actions.push(Action::CatchUp { from });
        }
    }

    /// Applies `record` if it is newer, and ends the attempt whose outcome it shows.
    pub(crate) fn apply(&mut self, now: Moment, record: Record) {
        let newer = self.record.as_ref().is_none_or(|old| record.version > old.version);
        if !newer && self.rules.rising_versions {
            return;
        }
        let settled = |attempt: &mut Attempt| attempt.record.version <= record.version;
        let settled = self.attempt.take_if(settled);
        match settled {
            Some(attempt) if attempt.record.write_id == record.write_id => {
                self.accepted = Some(record.write_id);
            }
            Some(_) => self.contention.count_lost_race(now),
            None if self.accepted == Some(record.write_id) => {}
            None => self.contention.count_updates(now, 1),
        }
        self.loads.retain(|id, _| *id == self.me || record.members.contains_key(id));
        self.update_ended_witnesses(now, &record);
        self.update_joined(now, &record);
        self.record = Some(Arc::new(record));
        self.applied_at = now;
        self.behind_since = None;
    }

    fn update_joined(&mut self, now: Moment, record: &Record) {
        self.joined_members.retain(|id, _| record.members.contains_key(id));
        let is_known = |id: &BootId| match (&self.record, &self.initial_members) {
            (Some(old), _) => old.members.contains_key(id),
            (None, Some(elders)) => elders.contains(id),
            (None, None) => true,
        };
        let joined: Vec<BootId> =
            record.members.keys().filter(|id| !is_known(id)).copied().collect();
        if self.record.is_none() || !joined.is_empty() {
            self.last_join = now;
        }
        self.joined_members.extend(joined.into_iter().map(|id| (id, now)));
    }

    /// Members that have joined recently and therefore count as alive.
    pub(crate) fn recently_joined(&self, now: Moment) -> BTreeSet<BootId> {
        let period = self.timing.heartbeat * RECENT_JOIN_HEARTBEATS;
        let lately = self.joined_members.iter().filter(|(_, joined)| now < **joined + period);
        lately.map(|(id, _)| *id).collect()
    }

    /// Updates the witnesses that were replaced by a newer process, have left or were removed.
    fn update_ended_witnesses(&mut self, now: Moment, record: &Record) {
        let known = std::mem::take(&mut self.ended_witnesses);
        let named = record.members.values().flat_map(|member| &member.witnesses);
        let gone = named.filter(|id| !record.members.contains_key(id));
        self.ended_witnesses =
            gone.map(|id| (*id, known.get(id).copied().unwrap_or(now))).collect();
    }

    /// When every acknowledgement of `witness` has lapsed on the slowest clock, if it is known to send no more.
    ///
    /// A witness stops acknowledging when its process ends, its own lease lapses, or it has written its departure. All
    /// of these come before the record without it, except that an earlier confirmation by the platform lets it go on
    /// for up to a lease; its last acknowledgement then lasts another lease.
    pub(crate) fn lapse_of_ended(&self, witness: BootId) -> Option<Moment> {
        let since = self.ended_witnesses.get(&witness)?;
        Some(*since + self.timing.with_drift(self.timing.lease * 2))
    }

    /// Whether the platform has confirmed this node as a member within the last lease duration.
    pub(crate) fn is_member_confirmed(&self, now: Moment) -> bool {
        self.platform.member_at.is_some_and(|sent| now < sent + self.timing.lease)
    }

    /// Handles a record from the platform or a peer.
    pub(crate) fn record_received(
        &mut self,
        now: Moment,
        record: Record,
        read_sent: Option<Moment>,
    ) {
        let version = record.version;
        self.apply(now, record);
        let Some(sent) = read_sent else { return };
        self.platform.answered(now);
        if version == self.version() {
            self.confirm_unwitnessed(sent);
            self.confirm_member(sent);
        }
    }

    /// Counts a platform response as confirmation that this node is a member, if the applied record shows it.
    pub(crate) fn confirm_member(&mut self, sent: Moment) {
        if self.own_member().is_some() {
            self.platform.member_at = self.platform.member_at.max(Some(sent));
        }
    }

    /// Counts a platform response as confirmation that this member has no witnesses, if the applied record shows it.
    pub(crate) fn confirm_unwitnessed(&mut self, sent: Moment) {
        if self.own_member().is_some_and(|own| own.witnesses.is_empty()) {
            self.platform.unwitnessed_at = self.platform.unwitnessed_at.max(Some(sent));
        }
    }
}
