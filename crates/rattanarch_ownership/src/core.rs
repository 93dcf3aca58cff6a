//! What every stage of a member's life has.

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

/// Heartbeats for which a member that has joined is taken to be alive: longer than a fleet takes to start again
/// after a loss of everything.
const FRESH_BEATS: u32 = 12;

/// The applied record, the one update on its way, and the actions of the current step.
#[derive(Debug)]
pub(crate) struct Core {
    pub(crate) me: BootId,
    pub(crate) member: Member,
    pub(crate) timing: Timing,
    pub(crate) rules: Rules,
    /// How slices are spread over members.
    pub(crate) spread: Spread,
    /// Whether joins, departures and changes of witnesses, and releases and takeovers that meet updates of others, are
    /// written by daemons that gather them.
    pub(crate) batching: bool,
    pub(crate) rng: Rng,
    /// Applied record; its version only rises. `None` until the first is known.
    pub(crate) record: Option<Arc<Record>>,
    /// When `record` was applied.
    pub(crate) applied_at: Moment,
    /// When a record with a new member was last applied.
    pub(crate) last_join: Moment,
    /// Members of the first record that this process knew, if that is older than the node's first one.
    pub(crate) initial_members: Option<BTreeSet<BootId>>,
    /// Members that have joined since this process follows the record, and when the node learned of each.
    fresh: BTreeMap<BootId, Moment>,
    /// Since when a peer is known to have a newer record.
    behind: Option<Moment>,
    /// When a peer was last asked for a newer record.
    fetched: Option<Moment>,
    pub(crate) platform: PlatformContact,
    pub(crate) attempt: Option<Attempt>,
    /// This node's last update that the platform accepted.
    pub(crate) accepted: Option<WriteId>,
    pub(crate) backoff: Backoff,
    pub(crate) contention: Contention,
    /// Members that operators want out.
    pub(crate) barred: BTreeSet<BootId>,
    /// Witnesses named by members that are members no more, and since when this node knows.
    pub(crate) ended_witnesses: BTreeMap<BootId, Moment>,
    /// Members declared lost, and when this node learned of it.
    pub(crate) lost: BTreeMap<BootId, Moment>,
    /// When this process last came back from a pause: silence before it is no evidence.
    pub(crate) resumed_at: Moment,
    /// Last known requests a second of members, this one included.
    pub(crate) loads: BTreeMap<BootId, u32>,
    /// Requests a second of the hottest keys that this member owns.
    pub(crate) key_rates: BTreeMap<KeyHash, u32>,
    /// Whether `keys` are new since they were last looked at.
    pub(crate) rates_changed: bool,
    /// Slices that the daemon wants to give to others for their load.
    pub(crate) planned_moves: BTreeMap<SliceId, BootId>,
    /// Whether slices may be given up in this step; see [`Event::ReleaseWindow`](crate::Event::ReleaseWindow).
    pub(crate) release_window: bool,
    /// Whether the process is to stop.
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
            fresh: BTreeMap::new(),
            behind: None,
            fetched: None,
            platform: PlatformContact::default(),
            attempt: None,
            accepted: None,
            backoff: Backoff::default(),
            contention: Contention::default(),
            barred: BTreeSet::new(),
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

    /// Asks the platform for the record, unless it was asked a moment ago.
    pub(crate) fn request_read(&mut self, now: Moment) {
        self.request_read_every(now, self.timing.heartbeat / 2);
    }

    /// Asks the platform for the record, unless it was asked within `pause`.
    pub(crate) fn request_read_every(&mut self, now: Moment, pause: Duration) {
        if self.platform.should_read(now, pause) {
            self.actions.push(Action::Read);
        }
    }

    /// Whether the platform answered within the last two heartbeats, here or elsewhere; asks it otherwise.
    ///
    /// What cannot be written is not begun: a seal or a held slice would only cost service.
    pub(crate) fn is_platform_reachable(&mut self, now: Moment) -> bool {
        let reachable =
            self.platform.reachable_since(now.saturating_sub(self.timing.heartbeat * 2));
        if !reachable {
            self.request_read(now);
        }
        reachable
    }

    /// Takes what a peer says of itself with its message.
    pub(crate) fn peer_heard(&mut self, now: Moment, from: BootId, version: Version, load: u32) {
        self.loads.insert(from, load);
        self.catch_up(now, from, version);
    }

    /// Takes what operators want; a loss counts from when this node first learned of it.
    pub(crate) fn set_intent(&mut self, now: Moment, barred: Vec<BootId>, lost: Vec<BootId>) {
        self.barred = barred.into_iter().collect();
        let known = std::mem::take(&mut self.lost);
        let since = |id: BootId| (id, known.get(&id).copied().unwrap_or(now));
        self.lost = lost.into_iter().map(since).collect();
    }

    /// Whether an operator has declared `owner` lost, and a lease has lapsed since.
    pub(crate) fn is_lapsed(&self, now: Moment, owner: BootId) -> bool {
        let lease = self.timing.with_drift(self.timing.lease);
        self.lost.get(&owner).is_some_and(|learned| now >= *learned + lease)
    }

    /// Whether this step may begin to give up slices.
    pub(crate) fn may_release(&self) -> bool {
        self.release_window || self.spread == Spread::Even
    }

    /// Takes this member's own load.
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

    /// Asks for the record if the peer `from` has applied a newer one: that peer, since calls to the
    /// platform are dear, and the platform if peers have not helped within two heartbeats.
    pub(crate) fn catch_up(&mut self, now: Moment, from: BootId, version: Version) {
        if version <= self.version() {
            return;
        }
        let pause = self.timing.heartbeat / 2;
        let since = *self.behind.get_or_insert(now);
        if now >= since + self.timing.heartbeat * 2 {
            self.request_read(now);
        } else if self.fetched.is_none_or(|fetched| now >= fetched + pause) {
            self.fetched = Some(now);
            self.actions.push(Action::CatchUp { from });
        }
    }

    /// Applies `record` if it is newer, and ends the attempt that it settles.
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
        self.note_ended(now, &record);
        self.note_joined(now, &record);
        self.record = Some(Arc::new(record));
        self.applied_at = now;
        self.behind = None;
    }

    fn note_joined(&mut self, now: Moment, record: &Record) {
        self.fresh.retain(|id, _| record.members.contains_key(id));
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
        self.fresh.extend(joined.into_iter().map(|id| (id, now)));
    }

    /// Members that have joined lately, and so are alive, as far as this node knows.
    pub(crate) fn recently_joined(&self, now: Moment) -> BTreeSet<BootId> {
        let life = self.timing.heartbeat * FRESH_BEATS;
        let lately = self.fresh.iter().filter(|(_, joined)| now < **joined + life);
        lately.map(|(id, _)| *id).collect()
    }

    /// Notes witnesses that were succeeded, have left or were taken out.
    fn note_ended(&mut self, now: Moment, record: &Record) {
        let known = std::mem::take(&mut self.ended_witnesses);
        let named = record.members.values().flat_map(|member| &member.witnesses);
        let gone = named.filter(|id| !record.members.contains_key(id));
        self.ended_witnesses =
            gone.map(|id| (*id, known.get(id).copied().unwrap_or(now))).collect();
    }

    /// When every acknowledgement of `witness` has lapsed on the slowest clock, if it is known to
    /// give none any more.
    ///
    /// It gave none once its process had ended, its own lease had lapsed, or it had written its
    /// departure, and that was before the record without it; but for what the platform had confirmed
    /// shortly before.
    pub(crate) fn lapse_of_ended(&self, witness: BootId) -> Option<Moment> {
        let since = self.ended_witnesses.get(&witness)?;
        Some(*since + self.timing.with_drift(self.timing.lease * 2))
    }

    /// Whether the platform has shown this node as a member within a lease.
    pub(crate) fn is_member_confirmed(&self, now: Moment) -> bool {
        self.platform.member_at.is_some_and(|sent| now < sent + self.timing.lease)
    }

    /// Takes a record that the platform or a peer sent.
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

    /// Notes that the platform showed this node as a member, if the applied record does.
    pub(crate) fn confirm_member(&mut self, sent: Moment) {
        if self.own_member().is_some() {
            self.platform.member_at = self.platform.member_at.max(Some(sent));
        }
    }

    /// Notes that the platform showed this member without witnesses, if the applied record does.
    pub(crate) fn confirm_unwitnessed(&mut self, sent: Moment) {
        if self.own_member().is_some_and(|own| own.witnesses.is_empty()) {
            self.platform.unwitnessed_at = self.platform.unwitnessed_at.max(Some(sent));
        }
    }
}
