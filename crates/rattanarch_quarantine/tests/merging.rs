//! Tables of several daemons become equal.

use std::time::Duration;

use quickcheck::quickcheck;
use rand_chacha::ChaCha8Rng;
use rand_core::Rng;
use rand_core::SeedableRng;
use rattanarch_quarantine::EndState;
use rattanarch_quarantine::Fingerprint;
use rattanarch_quarantine::Quarantine;
use rattanarch_quarantine::SuspectReport;
use rattanarch_quarantine::Verdict;

const NOW: Duration = Duration::from_secs(1_000);

fn report(fingerprint: u8, end: u8, state: u8) -> SuspectReport {
    let state = [EndState::InFlight, EndState::Alone, EndState::Cleared][usize::from(state % 3)];
    let fingerprint = Fingerprint { head: u64::from(fingerprint % 4), body: 0 };
    SuspectReport { fingerprint, age: Duration::ZERO, ends: vec![(u64::from(end % 6), state)] }
}

fn merged<'a>(reports: impl IntoIterator<Item = &'a SuspectReport>) -> Quarantine {
    let mut quarantine = Quarantine::default();
    for report in reports {
        quarantine.merge(NOW, report);
    }
    quarantine
}

quickcheck! {
    fn any_order(parts: Vec<(u8, u8, u8)>) -> bool {
        let reports: Vec<_> = parts.iter().map(|(f, e, s)| report(*f, *e, *s)).collect();
        let (forward, backward) = (merged(&reports), merged(reports.iter().rev()));
        let twice = merged(reports.iter().chain(&reports));
        forward.summary() == backward.summary()
            && forward.summary() == twice.summary()
            && forward.reports(NOW, 10) == backward.reports(NOW, 10)
    }

    fn nothing_new_twice(parts: Vec<(u8, u8, u8)>) -> bool {
        let reports: Vec<_> = parts.iter().map(|(f, e, s)| report(*f, *e, *s)).collect();
        let mut quarantine = merged(&reports);
        reports.iter().all(|report| !quarantine.merge(NOW, report))
    }
}

/// A daemon that hears of a suspect late forgets it with the others, and one that was forgotten stays so.
#[test]
fn ages() {
    let old = SuspectReport { age: Duration::from_secs(3_590), ..report(1, 1, 0) };
    let mut quarantine = merged([&old]);
    quarantine.expire(NOW + Duration::from_secs(9));
    assert!(!quarantine.is_empty());
    quarantine.expire(NOW + Duration::from_secs(10));
    assert!(quarantine.is_empty());
    let older = SuspectReport { age: Duration::from_secs(3_600), ..old };
    assert!(!quarantine.merge(NOW, &older) && quarantine.is_empty());
}

/// A fleet whose datagrams are lost one in ten, each of which takes one step of 10 ms.
struct Fleet {
    daemons: Vec<Quarantine>,
    under_way: Vec<(usize, SuspectReport)>,
    random: ChaCha8Rng,
    sent: usize,
}

impl Fleet {
    fn new(size: usize, seed: u64) -> Self {
        let random = ChaCha8Rng::seed_from_u64(seed);
        Self { daemons: vec![Quarantine::default(); size], under_way: Vec::new(), random, sent: 0 }
    }

    fn below(&mut self, limit: usize) -> usize {
        (self.random.next_u64() % limit as u64) as usize
    }

    /// Has the daemon `from` send what is due to three others.
    fn spread(&mut self, from: usize, now: Duration) {
        let due = self.daemons[from].take_due(now, 100);
        for _ in 0..3 {
            let to = self.below(self.daemons.len());
            self.sent += usize::from(!due.is_empty());
            if self.below(10) > 0 {
                self.under_way.extend(due.iter().map(|report| (to, report.clone())));
            }
        }
    }

    /// Steps until `done` holds at all daemons; returns the time that it took, at most 3 s.
    fn run(&mut self, done: impl Fn(&Quarantine, Duration) -> bool) -> Duration {
        for step in 0..300u32 {
            let now = NOW + Duration::from_millis(10) * step;
            for (to, report) in std::mem::take(&mut self.under_way) {
                if self.daemons[to].merge(now, &report) {
                    self.spread(to, now);
                }
            }
            for daemon in 0..self.daemons.len() {
                // The ticks of 250 ms.
                if (daemon as u32 + step) % 25 == 24 {
                    self.spread(daemon, now);
                }
            }
            if self.daemons.iter().all(|quarantine| done(quarantine, now)) {
                return now - NOW;
            }
        }
        panic!("not at all daemons within 3 s");
    }
}

/// All daemons of fleets of 13 to 780 know of a quarantine within the platform's time to become stable, and of its end,
/// and each has sent a few datagrams.
#[test]
fn whole_fleet() {
    let killer = Fingerprint { head: 1, body: 0 };
    for (size, seed) in
        [13, 60, 195, 780].into_iter().flat_map(|size| (1..=5).map(move |s| (size, s)))
    {
        let mut fleet = Fleet::new(size, seed);
        for (daemon, end) in [(0, 10), (size / 2, 11)] {
            fleet.daemons[daemon].record_end(NOW, end, &[killer], None);
            fleet.spread(daemon, NOW);
        }
        let known = fleet.run(|quarantine, now| quarantine.check(now, &killer) != Verdict::Free);
        assert!(known < Duration::from_secs(1), "{size} daemons, seed {seed}: {known:?}");
        fleet.run(|quarantine, _| quarantine.clone().take_due(NOW, 1).is_empty());
        // One of the two ends reaches most daemons before the other.
        assert!(fleet.sent <= size * 3 * 8, "{size} daemons sent {}", fleet.sent);
        fleet.daemons[size - 1].record_answer(NOW, &killer);
        fleet.spread(size - 1, NOW);
        fleet.run(|quarantine, now| quarantine.check(now, &killer) == Verdict::Free);
    }
}
