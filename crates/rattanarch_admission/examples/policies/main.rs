//! Compares the policies of this crate with simple baselines in a queueing simulation.
//!
//! `cargo run --release -p rattanarch_admission --example policies [SEED]`
//!
//! The model is one queueing station, or eight of them, with random arrivals and service times. It has no
//! network, and no faults other than those that each table names. It shows how the policies compare, not what
//! latency a deployment will have.

mod admission;
mod event_queue;
mod random;
mod stragglers;
mod table;
mod upstream;

use std::io;
use std::io::Write;

use crate::table::Table;

const DEFAULT_SEED: u64 = 1;

fn main() -> io::Result<()> {
    let seed = std::env::args().nth(1).and_then(|text| text.parse().ok()).unwrap_or(DEFAULT_SEED);
    let mut out = io::stdout().lock();
    writeln!(out, "seed {seed}")?;
    print(&mut out, &stragglers::compare(seed))?;
    print(&mut out, &admission::compare_cold(seed))?;
    print(&mut out, &admission::compare_storm(seed))?;
    print(&mut out, &admission::compare_overload(seed))
}

fn print(out: &mut impl Write, table: &Table) -> io::Result<()> {
    writeln!(out, "\n{table}")
}
