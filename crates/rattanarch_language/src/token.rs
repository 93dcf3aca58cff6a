//! Words and signs of the language.

use rattanarch_config::Comparison;
use winnow::stream::Location;

/// What a token is.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Kind {
    /// A word without quotes: a keyword, name, number or duration.
    Word(String),
    /// A word in quotes, never a keyword.
    Quoted(String),
    /// A sign of comparison.
    Sign(Comparison),
    /// `,`
    Comma,
    /// End of a statement: `;` or a line's end.
    End,
}

/// A token with its place in the text.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Token {
    /// What it is.
    pub kind: Kind,
    /// Byte at which it starts.
    pub start: usize,
    /// Byte after its last.
    pub end: usize,
}

impl Location for Token {
    fn previous_token_end(&self) -> usize {
        self.end
    }

    fn current_token_start(&self) -> usize {
        self.start
    }
}
