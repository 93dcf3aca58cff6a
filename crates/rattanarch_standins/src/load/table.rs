//! Text form of the load report.

use std::collections::BTreeMap;
use std::fmt;

use crate::load::LoadReport;
use crate::load::Unavailability;

impl fmt::Display for LoadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (sent, succeeded) = (self.sent(), self.succeeded());
        writeln!(
            f,
            "{sent} requests in {:.1} s, {succeeded} right, {} wrong",
            self.seconds, self.wrong
        )?;
        for example in &self.wrong_examples {
            writeln!(f, "  wrong: {example}")?;
        }
        if self.overflowed > 0 {
            writeln!(f, "  {} more were not sent: too many under way", self.overflowed)?;
        }
        self.write_kinds(f)?;
        self.write_services(f)?;
        write_counts(f, "attempts by answer", &self.answers)?;
        for (kind, errors) in &self.errors {
            write_counts(f, &format!("errors of {kind}"), errors)?;
        }
        write!(f, "{}", self.unavailable)
    }
}

impl LoadReport {
    fn write_kinds(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:<14}{:>8}{:>8}{:>8}{:>9}", "kind", "sent", "right", "failed", "retried")?;
        writeln!(f, "{:>10}{:>10}{:>10}{:>10}", "p50 ms", "p99 ms", "p99.9 ms", "max ms")?;
        for (name, kind) in &self.kinds {
            let (sent, succeeded, failed) = (kind.sent, kind.succeeded, kind.failed);
            write!(f, "{name:<14}{sent:>8}{succeeded:>8}{failed:>8}{:>9}", kind.retried)?;
            for latency in [kind.p50_us, kind.p99_us, kind.p999_us, kind.max_us] {
                write!(f, "{:>10.2}", latency as f64 / 1_000.0)?;
            }
            writeln!(f)?;
        }
        Ok(())
    }

    fn write_services(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (name, service) in &self.services {
            let (count, changes) = (service.instances.len(), service.owner_changes);
            write!(f, "{name}: {count} upstreams answered, imbalance {:.2}", service.imbalance)?;
            writeln!(f, ", {changes} changes of the answering upstream")?;
        }
        Ok(())
    }
}

impl fmt::Display for Unavailability {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { keys, affected, longest_ms, total_ms } = self;
        writeln!(
            f,
            "unavailable: {affected} of {keys} keys, longest {longest_ms} ms, sum {total_ms} ms"
        )
    }
}

fn write_counts(
    f: &mut fmt::Formatter<'_>,
    title: &str,
    counts: &BTreeMap<String, u64>,
) -> fmt::Result {
    let counts: Vec<String> =
        counts.iter().map(|(name, count)| format!("{name}: {count}")).collect();
    writeln!(f, "{title}: {}", counts.join(", "))
}
