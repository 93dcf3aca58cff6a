//! Formats responses as text.

use std::fmt::Write;

use rattanarch_config::Coverage;
use rattanarch_config::OperatorResponse;
use rattanarch_config::Table;

use crate::Exit;

/// Formats the response as text that ends with a newline.
pub(crate) fn render(response: &OperatorResponse) -> String {
    match response {
        OperatorResponse::Table { firm, table, version, age_ms, notes } => {
            let state = format!("firm {firm}, version {version}, {}\n", age_text(*age_ms));
            table_text(table) + &state + &notes_text(notes)
        }
        OperatorResponse::Accepted { firm, version, coverage, notes, .. } => {
            let accepted = format!("accepted at version {version} of firm {firm}; ");
            accepted + &coverage_text(coverage) + &notes_text(notes)
        }
        OperatorResponse::AlreadySo { firm, version, coverage } => {
            let already = format!("already so at version {version} of firm {firm}; ");
            already + &coverage_text(coverage)
        }
        OperatorResponse::DryRun { firm, version, effects } => {
            let dry_run = format!("dry run on version {version} of firm {firm}; nothing changed\n");
            dry_run + &effects.iter().map(|effect| format!("  {effect}\n")).collect::<String>()
        }
        OperatorResponse::NotAccepted { reason, risk, .. } => {
            let hint = if *risk { "to do it anyway, add the word \"twice\"\n" } else { "" };
            format!("not accepted: {reason}\n{hint}")
        }
        OperatorResponse::Unknown { write_id, reason } => format!(
            "unknown whether accepted: {reason}\nto learn the outcome, repeat it with --write-id {write_id}\n"
        ),
        OperatorResponse::Condition { met, detail } => {
            let state = if *met { "met" } else { "not met" };
            format!("{state}: {detail}\n")
        }
        OperatorResponse::Failed { reason } | OperatorResponse::Malformed { reason, .. } => {
            format!("{reason}\n")
        }
    }
}

/// Exit status for the response.
pub(crate) fn exit_status(response: &OperatorResponse) -> Exit {
    match response {
        OperatorResponse::Table { .. }
        | OperatorResponse::Accepted { .. }
        | OperatorResponse::AlreadySo { .. }
        | OperatorResponse::DryRun { .. }
        | OperatorResponse::Condition { met: true, .. } => Exit::Done,
        OperatorResponse::Condition { met: false, .. } => Exit::TimedOut,
        OperatorResponse::NotAccepted { .. } | OperatorResponse::Failed { .. } => Exit::Refused,
        OperatorResponse::Unknown { .. } => Exit::Unknown,
        OperatorResponse::Malformed { .. } => Exit::Usage,
    }
}

/// Formats a table as lines of columns.
pub(crate) fn table_text(table: &Table) -> String {
    let lines = || std::iter::once(&table.columns).chain(&table.rows);
    let width = |column: usize| lines().map(|line| line[column].chars().count()).max().unwrap_or(0);
    let widths: Vec<usize> = (0..table.columns.len()).map(width).collect();
    let mut text = String::new();
    for line in lines() {
        let mut row = String::new();
        for (cell, width) in line.iter().zip(&widths) {
            let _ = write!(row, "{cell:width$}  ");
        }
        text += row.trim_end();
        text += "\n";
    }
    text
}

fn age_text(age_ms: u64) -> String {
    match age_ms {
        0 => "as read now".to_owned(),
        _ => format!("as known {}.{:03} s ago", age_ms / 1_000, age_ms % 1_000),
    }
}

/// Formats notes, one a line.
pub(crate) fn notes_text(notes: &[String]) -> String {
    notes.iter().map(|note| format!("note: {note}\n")).collect()
}

fn coverage_text(coverage: &Coverage) -> String {
    let Coverage { reported, members, unseen } = coverage;
    let mut text = format!("known to be in force at {reported} of {members} members");
    if !unseen.is_empty() {
        let _ = write!(text, ", no reports of {}", unseen.join(", "));
    }
    text + "\n"
}
