//! Where and why a text is not in the language.

/// A text that is not in the language.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ParseError {
    /// Line of the fault, from 1.
    pub line: usize,
    /// Column of the fault in its line, in characters from 1.
    pub column: usize,
    /// The word at fault; `None` at the end of the statement.
    pub found: Option<String>,
    /// What would have fitted.
    pub expected: Vec<String>,
    /// The fitting word that the word at fault most looks like.
    pub nearest: Option<String>,
}

/// Most expected words that a message lists.
const LISTED: usize = 8;

impl ParseError {
    /// A fault at byte `at` of `text`.
    pub(crate) fn at(text: &str, at: usize, found: Option<String>, expected: Vec<String>) -> Self {
        let before = text.get(..at).unwrap_or(text);
        let line_start = before.rfind('\n').map_or(0, |end| end + 1);
        Self {
            line: before.matches('\n').count() + 1,
            column: before[line_start..].chars().count() + 1,
            found,
            expected,
            nearest: None,
        }
    }

    /// The line of `text` at fault with a mark below the column, and the message.
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
        if !self.expected.is_empty() && self.expected.len() <= LISTED {
            write!(f, "; expected {}", self.expected.join(" or "))?;
        }
        Ok(())
    }
}
