//! The table of figures.

use std::time::Duration;

use crate::BenchError;

/// Longest time for 99 in 100 requests: the users' letter.
const MAX_P99: Duration = Duration::from_millis(19);
/// Longest time until a key is served again after a loss: the users' letter.
const MAX_UNSERVED: Duration = Duration::from_secs(2);

/// What the letter allows a figure to be.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Bound {
    /// The letter states none.
    None,
    /// Most milliseconds of the 99th percentile.
    P99,
    /// Most milliseconds without service.
    Unserved,
    /// No answer may be wrong.
    NoWrong,
}

impl Bound {
    /// Greatest figure allowed.
    fn limit(self) -> Option<f64> {
        match self {
            Self::None => None,
            Self::P99 => Some(MAX_P99.as_millis() as f64),
            Self::Unserved => Some(MAX_UNSERVED.as_millis() as f64),
            Self::NoWrong => Some(0.0),
        }
    }
}

/// Prints rows as they come and keeps the bounds that were missed.
#[derive(Debug, Default)]
pub(crate) struct Table {
    /// Firm of the rows to come.
    pub(crate) firm: &'static str,
    missed: Vec<String>,
}

impl Table {
    /// Prints the heads of the columns.
    pub(crate) fn head() {
        println!("| measure | firm | variant | figure | bound |");
        println!("|---|---|---|---|---|");
    }

    /// Prints a figure without a bound.
    pub(crate) fn note(&self, measure: &str, variant: &str, figure: &str) {
        println!("| {measure} | {} | {variant} | {figure} | |", self.firm);
    }

    /// Prints a figure beside its bound.
    pub(crate) fn add(&mut self, measure: &str, variant: &str, figure: f64, bound: Bound) {
        let firm = self.firm;
        let verdict = match bound.limit() {
            None => String::new(),
            Some(limit) if figure <= limit => format!("{limit:.0}: met"),
            Some(limit) => {
                let miss = format!("{measure}, {firm}, {variant}: {figure:.1} over {limit:.0}");
                self.missed.push(miss);
                format!("{limit:.0}: missed")
            }
        };
        println!("| {measure} | {firm} | {variant} | {figure:.2} | {verdict} |");
    }

    /// An error if a bound was missed.
    pub(crate) fn finish(self) -> Result<(), BenchError> {
        if self.missed.is_empty() { Ok(()) } else { Err(self.missed.join("; ").into()) }
    }
}
