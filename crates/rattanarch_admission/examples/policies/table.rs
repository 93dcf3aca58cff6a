//! Text tables and percentiles.

use std::fmt;
use std::time::Duration;

/// A titled table; the first column names the variant.
pub(crate) struct Table {
    title: String,
    columns: Vec<&'static str>,
    rows: Vec<Vec<String>>,
}

impl Table {
    pub(crate) fn new(title: &str, columns: &[&'static str]) -> Self {
        Self { title: title.to_owned(), columns: columns.to_vec(), rows: Vec::new() }
    }

    pub(crate) fn push(&mut self, row: Vec<String>) {
        self.rows.push(row);
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}", self.title)?;
        write!(f, "{:<26}", self.columns[0])?;
        for column in &self.columns[1..] {
            write!(f, "{column:>12}")?;
        }
        for row in &self.rows {
            write!(f, "\n{:<26}", row[0])?;
            for cell in &row[1..] {
                write!(f, "{cell:>12}")?;
            }
        }
        Ok(())
    }
}

/// The `ratio` quantile of `times` in milliseconds, `-` if there are none. Sorts `times`.
pub(crate) fn quantile(times: &mut [Duration], ratio: f64) -> String {
    times.sort_unstable();
    let index = (times.len() as f64 * ratio) as usize;
    let time = times.get(index.min(times.len().saturating_sub(1)));
    time.map_or("-".to_owned(), |time| format!("{:.1}", time.as_secs_f64() * 1_000.0))
}

/// `part` of `whole` in percent.
pub(crate) fn percent(part: usize, whole: usize) -> String {
    format!("{:.2}%", part as f64 * 100.0 / whole.max(1) as f64)
}
