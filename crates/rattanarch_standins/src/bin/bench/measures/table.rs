//! Table of the measured figures and their bounds.

use std::time::Duration;

use crate::BenchError;

/// Maximum 99th percentile of the latency; required by the users.
const MAX_P99: Duration = Duration::from_millis(19);
/// Maximum time until a key is served again after a loss; required by the users.
const MAX_UNSERVED: Duration = Duration::from_secs(2);

/// Bound of a figure.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Bound {
    /// The figure is not bounded.
    None,
    /// [`MAX_P99`], in milliseconds.
    P99,
    /// [`MAX_UNSERVED`], in milliseconds.
    Unserved,
    /// No response may be wrong.
    NoWrong,
}

impl Bound {
    /// Maximum of the figure.
    fn limit(self) -> Option<f64> {
        match self {
            Self::None => None,
            Self::P99 => Some(MAX_P99.as_millis() as f64),
            Self::Unserved => Some(MAX_UNSERVED.as_millis() as f64),
            Self::NoWrong => Some(0.0),
        }
    }
}

/// Prints rows as they are added and collects the missed bounds.
#[derive(Debug, Default)]
pub(crate) struct Table {
    /// Firm of the rows that are added.
    pub(crate) firm: &'static str,
    missed: Vec<String>,
}

impl Table {
    /// Prints the column titles.
    pub(crate) fn print_header() {
        println!("| measure | firm | variant | figure | bound |");
        println!("|---|---|---|---|---|");
    }

    /// Prints a row whose figure is a text.
    pub(crate) fn add_text(&self, measure: &str, variant: &str, figure: &str) {
        println!("| {measure} | {} | {variant} | {figure} | |", self.firm);
    }

    /// Prints a row with a figure and its bound.
    pub(crate) fn add_figure(&mut self, measure: &str, variant: &str, figure: f64, bound: Bound) {
        let firm = self.firm;
        let verdict = match bound.limit() {
            None => String::new(),
            Some(limit) if figure <= limit => format!("{limit:.0}: met"),
            Some(limit) => {
                let message = format!("{measure}, {firm}, {variant}: {figure:.1} over {limit:.0}");
                self.missed.push(message);
                format!("{limit:.0}: missed")
            }
        };
        println!("| {measure} | {firm} | {variant} | {figure:.2} | {verdict} |");
    }

    /// Returns an error if a bound was missed.
    pub(crate) fn finish(self) -> Result<(), BenchError> {
        if self.missed.is_empty() { Ok(()) } else { Err(self.missed.join("; ").into()) }
    }
}
