//! Result tables of queries.

use serde::Deserialize;
use serde::Serialize;

use crate::Comparison;
use crate::Filter;
use crate::Query;

/// A table of text cells. Each row has as many cells as there are columns.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Table {
    /// Names of the columns.
    pub columns: Vec<String>,
    /// Cells, row by row.
    pub rows: Vec<Vec<String>>,
}

impl Table {
    /// An empty table with the columns of `query`'s subject.
    pub fn for_query(query: &Query) -> Self {
        let columns = query.subject.columns().iter().map(|name| (*name).to_owned()).collect();
        Self { columns, rows: Vec::new() }
    }

    /// The rows and columns that `query` asks for.
    pub fn select(&self, query: &Query) -> Self {
        let passes = |row: &&Vec<String>| query.filters.iter().all(|f| self.passes(row, f));
        let kept = self.kept_columns(query);
        let rows = self.rows.iter().filter(passes);
        Self {
            columns: kept.iter().map(|index| self.columns[*index].clone()).collect(),
            rows: rows.map(|row| kept.iter().map(|index| row[*index].clone()).collect()).collect(),
        }
    }

    fn kept_columns(&self, query: &Query) -> Vec<usize> {
        if query.columns.is_empty() {
            return (0..self.columns.len()).collect();
        }
        query.columns.iter().filter_map(|name| self.position(name)).collect()
    }

    fn position(&self, name: &str) -> Option<usize> {
        self.columns.iter().position(|column| column == name)
    }

    fn passes(&self, row: &[String], filter: &Filter) -> bool {
        let cell = self.position(&filter.column).and_then(|index| row.get(index));
        cell.is_some_and(|cell| filter.passes(cell))
    }
}

impl Filter {
    /// Whether a cell passes; a cell or value that is not a number is neither above nor below.
    pub fn passes(&self, cell: &str) -> bool {
        match self.comparison {
            Comparison::Is => cell == self.value,
            Comparison::IsNot => cell != self.value,
            Comparison::Contains => cell.contains(&self.value),
            Comparison::Above => numbers(cell, &self.value).is_some_and(|(a, b)| a > b),
            Comparison::Below => numbers(cell, &self.value).is_some_and(|(a, b)| a < b),
        }
    }
}

fn numbers(cell: &str, value: &str) -> Option<(f64, f64)> {
    Some((cell.parse().ok()?, value.parse().ok()?))
}
