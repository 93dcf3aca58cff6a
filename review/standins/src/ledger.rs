//! What all endpoints hold and run, and the checks of the rules OWNER and TWICE on it.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use crate::KEYS;
use crate::record::Record;

/// Two endpoints that hold the same keys for longer than this break the rule, with requests or without.
const BOTH_HOLD_LIMIT: Duration = Duration::from_millis(500);

/// Index of an endpoint's life.
pub type Life = usize;

/// One endpoint's hold of a key.
#[derive(Clone, Copy, Debug)]
struct Hold {
    life: Life,
    since: Instant,
    until: Instant,
    /// Whether it has begun a request on the key while another endpoint held it too, by that one's life.
    begun_beside: Option<Life>,
}

#[derive(Clone, Debug, Default)]
struct Key {
    /// Highest fence with which each life took the key.
    fences: Vec<(Life, u64)>,
    holds: Vec<Hold>,
    /// Whether a breach was counted for the key, by kind.
    counted: [bool; 3],
}

#[derive(Debug, Default)]
struct State {
    keys: Vec<Key>,
    names: Vec<String>,
    runs: HashMap<String, u32>,
    /// Keys for which each kind of breach was seen.
    fence_breaches: u32,
    both_began: u32,
    both_held: u32,
    examples: u32,
    /// Until when grants to a life don't count, since their sender was thawed shortly before.
    excused: HashMap<Life, Instant>,
}

#[derive(Clone)]
pub struct Ledger {
    state: Arc<Mutex<State>>,
    record: Record,
}

impl Ledger {
    pub fn new(record: &Record) -> Self {
        let state = State { keys: vec![Key::default(); KEYS], ..State::default() };
        Self { state: Arc::new(Mutex::new(state)), record: record.clone() }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread has panicked")
    }

    /// Registers a life of an endpoint.
    pub fn register(&self, name: &str) -> Life {
        let mut state = self.lock();
        state.names.push(name.to_owned());
        state.names.len() - 1
    }

    /// Has the grants that `life` takes until `until` not count.
    pub fn excuse(&self, life: Life, until: Instant) {
        self.lock().excused.insert(life, until);
    }

    /// Notes that `life` holds the keys from `first` to `last` until `until`; `taken` says that it takes them now with
    /// `fence`, which it had not before.
    pub fn hold(&self, life: Life, first: u16, last: u16, fence: u64, until: Instant, taken: bool) {
        let now = Instant::now();
        let mut state = self.lock();
        for key in first..=last {
            state.hold(&self.record, life, key, fence, (now, until), taken);
        }
    }

    /// Notes that `life` holds `key` no longer.
    pub fn release(&self, life: Life, key: u16) {
        let now = Instant::now();
        let mut state = self.lock();
        state.check_overlap(&self.record, key, now);
        for hold in state.keys[usize::from(key)].holds.iter_mut().filter(|hold| hold.life == life) {
            hold.until = hold.until.min(now);
        }
    }

    /// Notes that `life` begins the request `id`, for `key` if it has one.
    pub fn begin(&self, life: Life, id: &str, key: Option<u16>) {
        let now = Instant::now();
        let mut state = self.lock();
        *state.runs.entry(id.to_owned()).or_default() += 1;
        let Some(key) = key else { return };
        let name = state.names[life].clone();
        let holds = &mut state.keys[usize::from(key)].holds;
        let others: Vec<Life> =
            holds.iter().filter(|h| h.life != life && h.until > now).map(|h| h.life).collect();
        let Some(other) = others.first().copied() else { return };
        let other_began =
            holds.iter().any(|h| h.life == other && h.begun_beside == Some(life) && h.until > now);
        for hold in holds.iter_mut().filter(|hold| hold.life == life) {
            hold.begun_beside = Some(other);
        }
        let other = state.names[other].clone();
        self.record.line(&format!("both hold: {name} begins {id} on key {key}, which {other} holds too"));
        if other_began && !std::mem::replace(&mut state.keys[usize::from(key)].counted[1], true) {
            state.both_began += 1;
            self.record.say(&format!(
                "BREACH of OWNER: {name} and {other} hold key {key} at the same time, and both began requests on it"
            ));
        }
    }

    /// Ends of holds count too: checks all keys once more.
    pub fn finish(&self) {
        let now = Instant::now();
        let mut state = self.lock();
        for key in 0..=u16::MAX {
            state.check_overlap(&self.record, key, now);
        }
    }

    /// Keys with a fence that was not above all others, keys on which two holders began requests, and keys that two
    /// held for over half a second.
    pub fn breaches(&self) -> (u32, u32, u32) {
        let state = self.lock();
        (state.fence_breaches, state.both_began, state.both_held)
    }

    /// Requests that ran more than once, among those whose id `is_unsafe` names.
    pub fn repeated(&self, is_unsafe: impl Fn(&str) -> bool) -> Vec<(String, u32)> {
        let state = self.lock();
        let more = state.runs.iter().filter(|(id, count)| **count > 1 && is_unsafe(id));
        more.map(|(id, count)| (id.clone(), *count)).collect()
    }

    pub fn runs(&self, id: &str) -> u32 {
        self.lock().runs.get(id).copied().unwrap_or_default()
    }

    pub fn total_runs(&self) -> u32 {
        self.lock().runs.values().sum()
    }
}

impl State {
    fn hold(
        &mut self,
        record: &Record,
        life: Life,
        key: u16,
        fence: u64,
        (now, until): (Instant, Instant),
        taken: bool,
    ) {
        let index = usize::from(key);
        if taken {
            let others = self.keys[index].fences.iter().filter(|(other, _)| *other != life);
            let highest = others.max_by_key(|(_, fence)| *fence).copied();
            let counts = self.excused.get(&life).is_none_or(|until| now >= *until);
            if let Some((other, above)) = highest.filter(|(_, highest)| *highest >= fence && counts) {
                if !std::mem::replace(&mut self.keys[index].counted[0], true) {
                    self.fence_breaches += 1;
                    self.examples += 1;
                    let text = format!(
                        "BREACH of OWNER: {} takes key {key} with fence {fence}; {} had it with {above}",
                        self.names[life], self.names[other]
                    );
                    if self.examples <= 5 { record.say(&text) } else { record.line(&text) }
                }
            }
            let fences = &mut self.keys[index].fences;
            match fences.iter_mut().find(|(other, _)| *other == life) {
                Some((_, highest)) => *highest = fence.max(*highest),
                None => fences.push((life, fence)),
            }
        }
        self.check_overlap(record, key, now);
        let holds = &mut self.keys[index].holds;
        holds.retain(|hold| hold.until > now || hold.life == life);
        match holds.iter_mut().find(|hold| hold.life == life) {
            Some(hold) if hold.until > now => hold.until = until,
            Some(hold) => *hold = Hold { life, since: now, until, begun_beside: None },
            None => holds.push(Hold { life, since: now, until, begun_beside: None }),
        }
    }

    /// Counts the key if two lives have held it together for too long, up to `now`.
    fn check_overlap(&mut self, record: &Record, key: u16, now: Instant) {
        let Key { holds, counted, .. } = &mut self.keys[usize::from(key)];
        for (index, one) in holds.iter().enumerate() {
            for other in &holds[index + 1..] {
                let from = one.since.max(other.since);
                let to = one.until.min(other.until).min(now);
                let both = to.saturating_duration_since(from);
                if one.life != other.life && both > BOTH_HOLD_LIMIT && !std::mem::replace(&mut counted[2], true) {
                    self.both_held += 1;
                    let text = format!(
                        "BREACH of OWNER: {} and {} hold key {key} for {} ms at the same time",
                        self.names[one.life], self.names[other.life], both.as_millis()
                    );
                    self.examples += 1;
                    if self.examples <= 5 { record.say(&text) } else { record.line(&text) }
                }
            }
        }
    }
}
