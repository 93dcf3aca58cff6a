//! The brief's five measures, for both firms' deployments, beside plain baselines in one run.

mod caller;
mod deployment;
mod moves;
mod placement;
mod probe;
mod stragglers;
mod table;

use gumdrop::Options;

use crate::BenchError;
use crate::measures::deployment::DEPLOYMENTS;
use crate::measures::table::Table;

/// Options of `bench measures`.
#[derive(Debug, Options)]
pub(crate) struct MeasuresOptions {
    /// Prints the options.
    #[options(help = "print this help")]
    help: bool,
    /// Feeds every choice of the callers.
    #[options(help = "feeds every choice of the callers", meta = "N", default = "1")]
    seed: u64,
    /// Length of the load over each way to the upstreams.
    #[options(help = "seconds of each way to the upstreams", meta = "SECONDS", default = "6")]
    seconds: u64,
    /// Requests a second of a firm's whole mix, and of its keyed reads.
    #[options(help = "requests a second", meta = "RATE", default = "200")]
    rate: f64,
    /// Downloads a second, where only these are sent.
    #[options(help = "downloads a second, sent alone", meta = "RATE", default = "50")]
    downloads: f64,
}

/// Prints the table and the histograms; an error if a bound is missed.
pub(crate) fn measure(options: &MeasuresOptions) -> Result<(), BenchError> {
    let mut table = Table::default();
    let mut pictures = Vec::new();
    Table::head();
    for deployment in &DEPLOYMENTS {
        table.firm = deployment.name;
        placement::measure(deployment.members as u64, &table);
        moves::measure(deployment, options, &mut table)?;
        stragglers::measure(deployment, options, &mut table, &mut pictures)?;
    }
    println!("\nLatency from the time that each request was due:");
    pictures.iter().for_each(stragglers::draw);
    table.finish()
}
