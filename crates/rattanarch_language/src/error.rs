//! Syntax errors.

/// Position and cause of a syntax error.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ParseError {
    /// Line of the error, counted from 1.
    pub line: usize,
    /// Column of the error, in characters counted from 1.
    pub column: usize,
    /// The unexpected token; `None` at the end of the statement.
    pub found: Option<String>,
    /// Alternatives that would have been accepted: keywords in quotes, and descriptions of values.
    pub expected: Vec<String>,
    /// The expected keyword that is most similar to the unexpected token.
    pub nearest: Option<String>,
}

/// If more than this number of alternatives are expected, the message does not list them.
const MAX_LISTED: usize = 8;

impl ParseError {
    /// Creates an error at byte `offset` of `text`. An offset that is out of range or inside a character counts as the
    /// end of `text`.
    pub(crate) fn at(
        text: &str,
        offset: usize,
        found: Option<String>,
        expected: Vec<String>,
    ) -> Self {
        let before = text.get(..offset).unwrap_or(text);
        let line_start = before.rfind('\n').map_or(0, |end| end + 1);
        Self {
            line: before.matches('\n').count() + 1,
            column: before[line_start..].chars().count() + 1,
            found,
            expected,
            nearest: None,
        }
    }

    /// Formats three lines: the erroneous line of `text`, a caret below the column, and the message. `text` must be the
    /// text that was parsed.
    pub fn render(&self, text: &str) -> String {
        let line = text.lines().nth(self.line - 1).unwrap_or_default();
        format!("{line}\n{:>width$}\n{self}", "^", width = self.column)
    }
}

impl std::error::Error for ParseError {}

impl std::fmt::Display for ParseError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "line {}, column {}: ", self.line, self.column)?;
        match &self.found {
            Some(found) => write!(f, "{found:?} does not fit here")?,
            None => write!(f, "the statement is not complete")?,
        }
        if let Some(nearest) = &self.nearest {
            return write!(f, "; did you mean {nearest:?}?");
        }
        if !self.expected.is_empty() && self.expected.len() <= MAX_LISTED {
            write!(f, "; expected {}", self.expected.join(" or "))?;
        }
        Ok(())
    }
}
