//! One simulated machine of the users' platform: an upstream and the daemon beside it, with the parts around the
//! daemon's node as in `rattanarch_mesh`: heartbeats, grants, drained slices and the start of nodes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use rand_core::Rng;
use rattanarch_ownership::Batcher;
use rattanarch_ownership::Event;
use rattanarch_ownership::Grants;
use rattanarch_ownership::KeptFences;
use rattanarch_ownership::Node;
use rattanarch_ownership::RestoreWait;
use rattanarch_ownership::Serving;
use rattanarch_placement::Spread;
use rattanarch_types::BootId;
use rattanarch_types::Member;
use rattanarch_types::Moment;
use rattanarch_types::Record;
use rattanarch_types::SliceId;

use super::Process;
use super::Simulation;
use super::members::member;
use super::process::local_time;
use super::simulation::MILLI;
use super::simulation::TICK;
use super::simulation::Task;
use super::upstream::Heartbeat;
use super::upstream::Reply;
use super::upstream::Row;
use super::upstream::Upstream;

/// Longest time for which a grant is given, as on the users' platform.
const MAX_HOLD: Duration = Duration::from_secs(4);

/// Longest time that the reply to a heartbeat waits for a lease.
const MAX_LEASE_WAIT: Duration = Duration::from_millis(600);

/// Heartbeats that an upstream misses before it counts as lost.
const MISSED_HEARTBEAT_LIMIT: u32 = 3;

pub(crate) enum MachineTask {
    /// A process of the daemon starts, unless one runs.
    StartDaemon,
    /// The process with this number ends, and another starts soon after.
    RestartDaemon(u64),
    Tick(u64),
    Resume(u64),
    /// The daemon lists the records; repeated until the platform answers.
    List(u64),
    Learn(u64, Record),
    /// The daemon learns which slots are excluded and which members are lost.
    Exclusions(u64),
    Heartbeat(Heartbeat),
    /// The upstream of this life refuses connections.
    Refused(u64),
    SendHeartbeat(u64),
    ReplyTimeout(u64, u64),
    Reply(Reply),
    StartUpstream,
    EndUpstream(u64),
    /// The daemon can reach neither peers nor the platform for so many milliseconds.
    CutOff(u64),
    /// Records reach the machine again.
    Sight,
}

/// The life of the upstream that a daemon knows.
#[derive(Debug)]
struct KnownLife {
    life: u64,
    sequence: u64,
    last_heartbeat: Moment,
    leaving: bool,
    refused: bool,
}

/// A heartbeat that waits for its reply.
#[derive(Debug)]
struct AwaitedReply {
    life: u64,
    sequence: u64,
    /// When it is answered even without a lease.
    deadline: Moment,
}

/// One process of a daemon.
#[derive(Debug)]
pub(crate) struct Daemon {
    /// Number of the process; tasks of earlier ones have no effect.
    pub(crate) number: u64,
    pub(crate) is_alive: bool,
    pub(crate) paused_until: u64,
    origin: Duration,
    drift_ppm: i64,
    started: Moment,
    life: Option<KnownLife>,
    grants: Grants,
    kept_fences: KeptFences,
    restore_wait: RestoreWait,
    granted_version: u64,
    serving: Serving,
    draining: BTreeSet<SliceId>,
    /// Newest record that the process knows.
    known: Option<Record>,
    initial_members: BTreeSet<BootId>,
    /// Index of the process in [`Simulation::processes`] that has the node; `None` without a node.
    node: Option<usize>,
    excluded_slots: Vec<bool>,
    lost: Vec<BootId>,
    /// What the node was last told about exclusions.
    told: Option<Event>,
    leaving: bool,
    heartbeats: Vec<Heartbeat>,
    awaited: Option<AwaitedReply>,
    /// Boot id of the previous node, if the next one is to have the same.
    reused: Option<BootId>,
}

impl Daemon {
    fn clock(&self, now: u64) -> Moment {
        local_time(self.origin, self.drift_ppm, now)
    }

    pub(crate) fn describe(&self, slice: SliceId) -> String {
        let record = &self.serving.record;
        let owner = record.owners.get(usize::from(slice));
        format!(
            "daemon {} alive {} node {:?} version {} owner {owner:?} draining {:?} life {:?}",
            self.number, self.is_alive, self.node, record.version, self.draining, self.life
        )
    }

    fn learn(&mut self, record: &Record) {
        match &self.known {
            None => self.initial_members = record.members.keys().copied().collect(),
            Some(known) if known.version >= record.version => return,
            Some(_) => {}
        }
        self.known = Some(record.clone());
    }

    /// Drops the node and what belonged to its membership.
    fn reset_node(&mut self) {
        self.node = None;
        self.told = None;
        self.draining.clear();
        self.leaving = false;
        self.serving.lease_end = None;
    }

    fn is_lost(&self, now: u64, beat: Duration) -> bool {
        let clock = self.clock(now);
        self.life.as_ref().is_some_and(|life| {
            life.refused || clock >= life.last_heartbeat + beat * MISSED_HEARTBEAT_LIMIT
        })
    }

    fn is_upstream_leaving(&self, now: u64, beat: Duration) -> bool {
        self.life.as_ref().is_some_and(|life| life.leaving) || self.is_lost(now, beat)
    }
}

/// An upstream, its daemon and the faults of the paths to them.
#[derive(Debug)]
pub(crate) struct Machine {
    pub(crate) daemon: Daemon,
    pub(crate) upstream: Upstream,
    /// Until when heartbeats may arrive seconds late.
    pub(crate) late_until: u64,
    /// Until when replies to heartbeats may be late or lost.
    pub(crate) lossy_until: u64,
    /// Until when no record reaches the daemon.
    pub(crate) blind_until: u64,
    /// Until when the daemon's writes have no fencing tokens.
    pub(crate) tokenless_until: u64,
    /// Whether heartbeats are held back until the next process of the daemon starts.
    pub(crate) holds_back: bool,
    pub(crate) held_back: Vec<Heartbeat>,
    /// How long the daemon is cut off after it has ended in its next release; `None` if it is to live.
    pub(crate) crash_in_release: Option<u64>,
}

/// How often the schedules reached what the checks are about.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Slices that an upstream took, or took under another fence.
    pub takes: u64,
    /// Rows that an upstream rejected because it had seen a higher fence.
    pub rejected_rows: u64,
    /// Slices whose fence was kept for a newer process.
    pub kept_fences: u64,
    /// Records that were applied although the one before was not.
    pub skips: u64,
    /// First heartbeats at a process that were sent before it started.
    pub old_first_heartbeats: u64,
    /// Later lives that a daemon has seen.
    pub new_lives: u64,
}

impl Simulation {
    /// Adds a machine whose daemon and upstream start now.
    pub(crate) fn add_machine(&mut self, slot: usize) {
        let daemon = self.daemon(0);
        self.machines.push(Machine {
            daemon: Daemon { is_alive: false, ..daemon },
            upstream: Upstream::new(0, 0),
            late_until: 0,
            lossy_until: 0,
            blind_until: 0,
            tokenless_until: 0,
            holds_back: false,
            held_back: Vec::new(),
            crash_in_release: None,
        });
        self.start_daemon(slot);
        self.start_upstream(slot);
    }

    fn daemon(&mut self, number: u64) -> Daemon {
        let half = i64::from(self.settings.drift_ppm / 2);
        let origin = Duration::from_secs(10 + self.random_below(1_000));
        let drift_ppm = self.random_below(half as u64 * 2 + 1) as i64 - half;
        let rules = self.settings.rules;
        Daemon {
            number,
            is_alive: true,
            paused_until: 0,
            origin,
            drift_ppm,
            started: local_time(origin, drift_ppm, self.now),
            life: None,
            grants: Grants::default(),
            kept_fences: KeptFences::default().with_rules(rules),
            restore_wait: RestoreWait::default(),
            granted_version: 0,
            serving: Serving::default(),
            draining: BTreeSet::new(),
            known: None,
            initial_members: BTreeSet::new(),
            node: None,
            excluded_slots: vec![false; self.settings.slots],
            lost: Vec::new(),
            told: None,
            leaving: false,
            heartbeats: Vec::new(),
            awaited: None,
            reused: None,
        }
    }

    /// Starts a process of the daemon of `slot`, unless one runs.
    fn start_daemon(&mut self, slot: usize) {
        let before = &self.machines[slot].daemon;
        if before.is_alive {
            return;
        }
        let number = before.number + 1;
        self.machines[slot].daemon = self.daemon(number);
        let first = self.random_below(TICK);
        self.schedule(first, Task::Machine(slot, MachineTask::Tick(number)));
        self.schedule(first, Task::Machine(slot, MachineTask::List(number)));
        self.schedule(first, Task::Machine(slot, MachineTask::Exclusions(number)));
        self.machines[slot].holds_back = false;
        for beat in std::mem::take(&mut self.machines[slot].held_back) {
            let delay = self.random_below(100 * MILLI);
            self.schedule(delay, Task::Machine(slot, MachineTask::Heartbeat(beat)));
        }
    }

    /// Kills the daemon of `slot`, not its upstream.
    pub(crate) fn kill_daemon(&mut self, slot: usize) {
        let daemon = &mut self.machines[slot].daemon;
        daemon.is_alive = false;
        daemon.awaited = None;
        if let Some(index) = daemon.node.take() {
            self.processes[index].is_alive = false;
        }
    }

    /// Ends the daemon of the process `index` if it is to end in a release. Another starts soon, learns the record of
    /// before, and is cut off for a while. Returns how long the release is under way, in microseconds.
    pub(crate) fn crash_in_release(&mut self, index: usize) -> Option<u64> {
        let slot = self.processes.get(index)?.slot;
        let millis = self.machines.get_mut(slot)?.crash_in_release.take()?;
        self.kill_daemon(slot);
        self.schedule(20 * MILLI, Task::Machine(slot, MachineTask::StartDaemon));
        self.schedule(150 * MILLI, Task::Machine(slot, MachineTask::CutOff(millis)));
        Some(200 * MILLI + self.random_below(300 * MILLI))
    }

    pub(crate) fn pause_daemon(&mut self, slot: usize, millis: u64) {
        let daemon = &mut self.machines[slot].daemon;
        daemon.paused_until = self.now + millis * MILLI;
        let number = daemon.number;
        if let Some(index) = daemon.node {
            self.pause(index, millis);
        }
        self.schedule(millis * MILLI, Task::Machine(slot, MachineTask::Resume(number)));
    }

    pub(crate) fn run_machine_task(
        &mut self,
        slot: usize,
        task: MachineTask,
    ) -> Result<(), String> {
        let daemon = &self.machines[slot].daemon;
        let runs = daemon.is_alive && self.now >= daemon.paused_until;
        let current = daemon.number;
        match task {
            MachineTask::StartDaemon => self.start_daemon(slot),
            MachineTask::RestartDaemon(number) => {
                if number == current {
                    self.kill_daemon(slot);
                }
                let delay = self.random_below(500 * MILLI);
                self.schedule(delay, Task::Machine(slot, MachineTask::StartDaemon));
            }
            MachineTask::Tick(number) if number == current && daemon.is_alive => {
                self.schedule(TICK, Task::Machine(slot, MachineTask::Tick(number)));
                if runs {
                    self.tick(slot)?;
                }
            }
            MachineTask::Resume(number) if number == current && runs => self.resume_daemon(slot)?,
            MachineTask::List(number) if number == current => {
                if runs && self.slot_receives_answers(slot) {
                    let record = self.platform.stored.clone();
                    let delay = self.platform_delay();
                    self.schedule(delay, Task::Machine(slot, MachineTask::Learn(number, record)));
                } else {
                    self.schedule(200 * MILLI, Task::Machine(slot, MachineTask::List(number)));
                }
            }
            MachineTask::Learn(number, record) if number == current => {
                self.learn(slot, record)?;
            }
            MachineTask::Exclusions(number) if number == current => {
                let (excluded, lost) = (self.excluded.clone(), self.declared_lost.clone());
                let daemon = &mut self.machines[slot].daemon;
                daemon.excluded_slots = excluded;
                daemon.lost = lost;
            }
            MachineTask::Heartbeat(beat) if !daemon.is_alive => {
                // The connection is refused.
                self.reply_timeout(slot, beat.life, beat.sequence);
            }
            MachineTask::Heartbeat(beat) => {
                if !runs {
                    self.machines[slot].daemon.heartbeats.push(beat);
                    return Ok(());
                }
                self.receive_heartbeat(slot, &beat)?;
            }
            MachineTask::Refused(life) => {
                let ended = !self.machines[slot].upstream.is_alive;
                let known = self.machines[slot].daemon.life.as_mut();
                if let Some(known) = known.filter(|known| ended && known.life == life) {
                    known.refused = true;
                }
            }
            MachineTask::SendHeartbeat(life) => self.send_heartbeat(slot, life),
            MachineTask::ReplyTimeout(life, sequence) => self.reply_timeout(slot, life, sequence),
            MachineTask::Reply(reply) => self.take_reply(slot, &reply)?,
            MachineTask::StartUpstream if !self.machines[slot].upstream.is_alive => {
                self.start_upstream(slot);
            }
            MachineTask::EndUpstream(life) if self.machines[slot].upstream.life == life => {
                self.end_upstream(slot);
            }
            MachineTask::CutOff(millis) => {
                let until = self.now + millis * MILLI;
                self.no_platform_until[slot] = until;
                for other in 0..self.settings.slots {
                    self.cuts.insert((slot, other), until);
                    self.cuts.insert((other, slot), until);
                }
            }
            MachineTask::Sight => {
                let record = self.platform.stored.clone();
                self.learn(slot, record)?;
            }
            _ => {}
        }
        Ok(())
    }

    fn beat_interval(&self) -> Duration {
        Duration::from_millis(self.settings.upstream_heartbeat_ms)
    }

    fn tick(&mut self, slot: usize) -> Result<(), String> {
        if let Some(index) = self.machines[slot].daemon.node {
            if self.slot_receives_answers(slot) && self.now >= self.machines[slot].blind_until {
                let call_sent = self.machines[slot].daemon.clock(self.now);
                self.deliver(index, Event::PlatformReached { call_sent })?;
            }
            self.deliver(index, Event::Tick)?;
            self.write_batch(index);
        }
        self.maintain(slot)
    }

    fn resume_daemon(&mut self, slot: usize) -> Result<(), String> {
        for beat in std::mem::take(&mut self.machines[slot].daemon.heartbeats) {
            self.receive_heartbeat(slot, &beat)?;
        }
        if self.slot_receives_answers(slot) && self.now >= self.machines[slot].blind_until {
            let record = self.platform.stored.clone();
            self.learn(slot, record)?;
        }
        self.maintain(slot)
    }

    /// Has the daemon of `slot` learn a record from a listing, a watch or a peer. What it misses while it is paused or
    /// cut off it does not learn later.
    fn learn(&mut self, slot: usize, record: Record) -> Result<(), String> {
        let machine = &mut self.machines[slot];
        let daemon = &mut machine.daemon;
        if !daemon.is_alive || self.now < daemon.paused_until || self.now < machine.blind_until {
            return Ok(());
        }
        daemon.learn(&record);
        if let Some(index) = daemon.node {
            self.deliver(index, Event::Record { record, read_sent: None })?;
        }
        self.maintain(slot)
    }

    /// Passes a newly stored record to the daemons that watch.
    pub(crate) fn notify_machines(&mut self) {
        for slot in 0..self.machines.len() {
            let heard = self.noise_until <= self.now || self.chance(60);
            if heard && self.slot_receives_answers(slot) {
                let number = self.machines[slot].daemon.number;
                let record = self.platform.stored.clone();
                let delay = self.platform_delay();
                self.schedule(delay, Task::Machine(slot, MachineTask::Learn(number, record)));
            }
        }
    }

    pub(crate) fn publish_machine_exclusions(&mut self) {
        for slot in 0..self.machines.len() {
            let number = self.machines[slot].daemon.number;
            let delay = MILLI + self.random_below(200 * MILLI);
            self.schedule(delay, Task::Machine(slot, MachineTask::Exclusions(number)));
        }
    }

    fn receive_heartbeat(&mut self, slot: usize, beat: &Heartbeat) -> Result<(), String> {
        let known = self.machines[slot].daemon.life.as_ref();
        match known.map(|known| (known.life.cmp(&beat.life), known.sequence < beat.sequence)) {
            Some((std::cmp::Ordering::Greater, _)) => return Ok(()),
            Some((std::cmp::Ordering::Equal, true)) => {}
            Some((std::cmp::Ordering::Equal, false)) => {
                self.send_reply(slot, beat.life, beat.sequence, None);
                return Ok(());
            }
            Some((std::cmp::Ordering::Less, _)) | None => self.begin_life(slot, beat),
        }
        let now = self.now;
        let daemon = &mut self.machines[slot].daemon;
        let clock = daemon.clock(now);
        let leaving = daemon.life.as_ref().is_some_and(|life| life.leaving) || beat.leaving;
        daemon.life = Some(KnownLife {
            life: beat.life,
            sequence: beat.sequence,
            last_heartbeat: clock,
            leaving,
            refused: false,
        });
        daemon.grants.apply_heartbeat(clock, beat.sequence, |slice| beat.held.contains_key(&slice));
        // An earlier heartbeat that still waits is answered without grants.
        if let Some(earlier) = daemon.awaited.take() {
            self.send_reply(slot, earlier.life, earlier.sequence, None);
        }
        self.maintain(slot)?;
        if let Some(index) = self.machines[slot].daemon.node {
            let moves = self.random_moves(slot, index);
            self.deliver(index, Event::ReleaseWindow { moves })?;
        }
        let wait = MAX_LEASE_WAIT.min(self.beat_interval() / 2);
        let (life, sequence, deadline) = (beat.life, beat.sequence, clock + wait);
        self.machines[slot].daemon.awaited = Some(AwaitedReply { life, sequence, deadline });
        self.maintain(slot)
    }

    fn begin_life(&mut self, slot: usize, beat: &Heartbeat) {
        let rules = self.settings.rules;
        let slices = self.settings.slices;
        let lease = self.settings.timing.lease;
        let upstream_life = self.machines[slot].upstream.life;
        let daemon = &mut self.machines[slot].daemon;
        let first = daemon.life.is_none();
        daemon.life = None;
        if let Some(index) = daemon.node {
            let process = &mut self.processes[index];
            process.is_alive = false;
            daemon.reused = (!rules.new_boot_ids).then(|| process.node.me());
        }
        daemon.reset_node();
        daemon.kept_fences = KeptFences::default().with_rules(rules);
        daemon.granted_version = 0;
        daemon.serving = Serving::default();
        if first {
            daemon.kept_fences.report(beat.held.iter().map(|(slice, fence)| (*slice, *fence)));
            let is_old = beat.sequence > 1 && daemon.number > 1 || beat.life < upstream_life;
            self.counts.old_first_heartbeats += u64::from(is_old);
        } else {
            self.counts.new_lives += 1;
        }
        let until = daemon.started + lease + lease / 20;
        daemon.grants = Grants::new(slices, until).with_rules(rules);
    }

    /// Some slices of the node's member, to move to random other members.
    fn random_moves(&mut self, slot: usize, index: usize) -> BTreeMap<SliceId, BootId> {
        if !self.moves_slices || !self.machines[slot].daemon.draining.is_empty() || !self.chance(40)
        {
            return BTreeMap::new();
        }
        let node = &self.processes[index].node;
        let me = node.me();
        let Some(record) = node.record() else { return BTreeMap::new() };
        let own: Vec<SliceId> = record.slices_of(me).collect();
        let others: Vec<BootId> = record
            .members
            .iter()
            .filter(|(id, m)| **id != me && !m.leaving)
            .map(|(id, _)| *id)
            .collect();
        if own.is_empty() || others.is_empty() {
            return BTreeMap::new();
        }
        let count = 1 + self.random_below(2);
        let pick = |sim: &mut Self| {
            let slice = own[sim.random_below(own.len() as u64) as usize];
            (slice, others[sim.random_below(others.len() as u64) as usize])
        };
        (0..count).map(|_| pick(self)).collect()
    }

    /// Brings the node of `slot` up to date with the rest of the daemon, and answers the heartbeat that waits.
    pub(crate) fn maintain(&mut self, slot: usize) -> Result<(), String> {
        let (now, beat) = (self.now, self.beat_interval());
        let daemon = &mut self.machines[slot].daemon;
        if !daemon.is_alive || now < daemon.paused_until {
            return Ok(());
        }
        if daemon.life.as_ref().is_some_and(|life| life.refused) {
            daemon.grants.end_all();
        }
        self.start_node(slot)?;
        if let Some(index) = self.machines[slot].daemon.node {
            self.update_exclusions(slot, index)?;
            if self.machines[slot].daemon.is_lost(now, beat) {
                self.deliver(index, Event::ReleaseWindow { moves: BTreeMap::new() })?;
            }
            self.pass_drained(slot, index)?;
            self.leave_if_empty(slot, index)?;
        }
        self.answer_heartbeat(slot);
        Ok(())
    }

    fn start_node(&mut self, slot: usize) -> Result<(), String> {
        let daemon = &self.machines[slot].daemon;
        let ready = daemon.life.as_ref().is_some_and(|life| !life.leaving && !life.refused);
        let Some(record) = daemon.known.clone().filter(|_| ready && daemon.node.is_none()) else {
            return Ok(());
        };
        let seed = self.rng.next_u64();
        let index = self.processes.len();
        let rules = self.settings.rules;
        let data_centre = format!("centre-{}", slot % self.settings.centres);
        let member = Member { data_centre, fence: 1, ..member(&format!("slot-{slot}")) };
        let daemon = &mut self.machines[slot].daemon;
        let me = daemon.reused.take().unwrap_or(index as u64 + 1);
        let node = Node::new(me, member, self.settings.timing, seed)
            .with_rules(rules)
            .with_spread(Spread::ByLoad)
            .with_initial_members(daemon.initial_members.clone())
            .with_batching();
        daemon.node = Some(index);
        let process = Process {
            slot,
            node,
            batcher: Batcher::new(seed ^ 1).with_rules(rules).with_spread(Spread::ByLoad),
            fence: 0,
            seed,
            origin: daemon.origin,
            drift_ppm: daemon.drift_ppm,
            is_alive: true,
            paused_until: 0,
            inbox: Vec::new(),
            pending_actions: Vec::new(),
            has_left: false,
            grant_end: Duration::ZERO,
            departing: false,
            last_checked: Serving::default(),
        };
        self.processes.push(process);
        self.current[slot] = index;
        self.deliver(index, Event::Record { record, read_sent: None })
    }

    fn update_exclusions(&mut self, slot: usize, index: usize) -> Result<(), String> {
        let (now, beat) = (self.now, self.beat_interval());
        let me = self.processes[index].node.me();
        let daemon = &mut self.machines[slot].daemon;
        let Some(record) = &daemon.known else { return Ok(()) };
        let slot_of =
            |member: &Member| member.instance.trim_start_matches("slot-").parse::<usize>();
        let is_excluded =
            |member: &Member| slot_of(member).is_ok_and(|slot| daemon.excluded_slots[slot]);
        let members = record.members.iter().filter(|(_, member)| is_excluded(member));
        let mut excluded: BTreeSet<BootId> = members.map(|(id, _)| *id).collect();
        if daemon.is_upstream_leaving(now, beat) {
            excluded.insert(me);
        }
        let lost = daemon.lost.iter().copied().filter(|id| record.members.contains_key(id));
        let event = Event::ExcludedMembers {
            excluded: excluded.into_iter().collect(),
            lost: lost.collect(),
        };
        if daemon.told.as_ref() == Some(&event) {
            return Ok(());
        }
        daemon.told = Some(event.clone());
        self.deliver(index, event)
    }

    fn pass_drained(&mut self, slot: usize, index: usize) -> Result<(), String> {
        let now = self.now;
        let daemon = &mut self.machines[slot].daemon;
        let clock = daemon.clock(now);
        let (busy, slices): (BTreeSet<_>, BTreeSet<_>) = daemon
            .draining
            .iter()
            .copied()
            .partition(|slice| daemon.grants.may_hold(clock, *slice));
        daemon.draining = busy;
        if slices.is_empty() {
            return Ok(());
        }
        let slices = slices.into_iter().collect();
        self.deliver(index, Event::Drained { slices, hot: Vec::new(), handovers: BTreeMap::new() })
    }

    fn leave_if_empty(&mut self, slot: usize, index: usize) -> Result<(), String> {
        let me = self.processes[index].node.me();
        let daemon = &mut self.machines[slot].daemon;
        let leaving = daemon.life.as_ref().is_some_and(|life| life.leaving);
        let owns = daemon.known.as_ref().is_some_and(|known| known.slices_of(me).next().is_some());
        if !leaving || daemon.leaving || owns || !daemon.draining.is_empty() {
            return Ok(());
        }
        daemon.leaving = true;
        self.deliver(index, Event::Stop)
    }

    /// Passes what the node may serve to the grants.
    pub(crate) fn publish_serving(&mut self, index: usize) {
        let process = &self.processes[index];
        let Some(machine) = self.machines.get_mut(process.slot) else { return };
        let daemon = &mut machine.daemon;
        let serving = process.node.serving().clone();
        if let Some(record) = process.node.record() {
            daemon.learn(record);
        }
        let (me, version) = (serving.me, serving.record.version);
        if me != 0 && version != daemon.granted_version {
            let skipped = daemon.granted_version != 0 && version > daemon.granted_version + 1;
            self.counts.skips += u64::from(skipped);
            daemon.granted_version = version;
            let clock = daemon.clock(self.now);
            daemon.restore_wait.observe(clock, &serving.record, &self.settings.timing);
            let kept = daemon.kept_fences.apply_record(&serving.record, me);
            self.counts.kept_fences += kept.len() as u64;
            daemon.grants.apply_record(&serving.record, me, |slice| kept.get(&slice).copied());
        }
        daemon.serving = serving;
    }

    pub(crate) fn drain(&mut self, index: usize, slices: Vec<SliceId>) {
        let slot = self.processes[index].slot;
        self.machines[slot].daemon.draining.extend(slices);
    }

    /// Drops the node of a process that was removed from the record or has left; the daemon lives on.
    pub(crate) fn end_node(&mut self, index: usize) {
        let rules = self.settings.rules;
        self.processes[index].is_alive = false;
        let daemon = &mut self.machines[self.processes[index].slot].daemon;
        if daemon.node == Some(index) {
            daemon.reset_node();
            daemon.kept_fences = KeptFences::default().with_rules(rules);
        }
    }

    /// Answers the heartbeat that waits, unless the member is about to get a lease.
    fn answer_heartbeat(&mut self, slot: usize) {
        let now = self.now;
        let daemon = &mut self.machines[slot].daemon;
        let clock = daemon.clock(now);
        let leased = daemon.serving.lease_end.is_some_and(|end| clock < end);
        let stays = daemon.life.as_ref().is_some_and(|life| !life.leaving);
        let due = |awaited: &mut AwaitedReply| leased || !stays || clock >= awaited.deadline;
        let Some(AwaitedReply { life, sequence, .. }) = daemon.awaited.take_if(due) else { return };
        let renewed =
            daemon.grants.renew(clock, sequence, &daemon.serving, &daemon.restore_wait, MAX_HOLD);
        let grants = renewed.map(|(grants, hold)| {
            let mut rows: Vec<Row> = Vec::new();
            for grant in grants {
                let last = rows.last_mut().filter(|row| {
                    row.fence == grant.fence
                        && row.slices.last() == grant.slice.checked_sub(1).as_ref()
                });
                match last {
                    Some(row) => row.slices.push(grant.slice),
                    None => rows.push(Row { slices: vec![grant.slice], fence: grant.fence }),
                }
            }
            (rows, hold)
        });
        self.send_reply(slot, life, sequence, grants);
    }

    fn send_reply(
        &mut self,
        slot: usize,
        life: u64,
        sequence: u64,
        grants: Option<(Vec<Row>, Duration)>,
    ) {
        let lossy = self.now < self.machines[slot].lossy_until;
        if lossy && self.chance(40) {
            return;
        }
        let spread = if lossy && self.chance(40) { 1_500 * MILLI } else { 4 * MILLI };
        let delay = MILLI + self.random_below(spread);
        let reply = Reply { life, sequence, grants };
        self.schedule(delay, Task::Machine(slot, MachineTask::Reply(reply)));
    }
}
