//! The five required measures for both firms' deployments, compared with simple baselines in the same
//! run.

mod deployment;
mod membership_changes;
mod placement;
mod probe;
mod request_stream;
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
    /// Seed of all random choices of the callers.
    #[options(help = "feeds every choice of the callers", meta = "N", default = "1")]
    seed: u64,
    /// Duration of the load of each variant, in seconds.
    #[options(
        help = "duration of the load of each variant, in seconds",
        meta = "SECONDS",
        default = "6"
    )]
    seconds: u64,
    /// Rate of all requests of a firm, and of its keyed reads when only these are sent, in requests per
    /// second.
    #[options(help = "requests per second", meta = "RATE", default = "200")]
    rate: f64,
    /// Rate of downloads when only these are sent, in requests per second.
    #[options(
        help = "downloads per second when only these are sent",
        meta = "RATE",
        default = "50"
    )]
    downloads: f64,
}

/// Prints the table and the histograms. Returns an error if a bound is missed.
pub(crate) fn measure(options: &MeasuresOptions) -> Result<(), BenchError> {
    let mut table = Table::default();
    let mut histograms = Vec::new();
    Table::print_header();
    for deployment in &DEPLOYMENTS {
        table.firm = deployment.name;
        placement::measure(deployment.members as u64, &table);
        membership_changes::measure(deployment, options, &mut table)?;
        stragglers::measure(deployment, options, &mut table, &mut histograms)?;
    }
    println!("\nLatency from the time that each request was due:");
    histograms.iter().for_each(stragglers::print_histogram);
    table.finish()
}
