//! Tokens of the language.

use rattanarch_config::Comparison;
use winnow::stream::Location;

/// Kind and content of a token.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum TokenKind {
    /// A word without quotes: a keyword, name, number or duration.
    Word(String),
    /// A text in quotes; never a keyword.
    Quoted(String),
    /// A comparison operator.
    Comparison(Comparison),
    /// `,`
    Comma,
    /// End of a statement: `;` or the end of a line.
    End,
}

/// A token with its position in the text.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Token {
    /// Kind and content.
    pub kind: TokenKind,
    /// Byte offset of its start.
    pub start: usize,
    /// Byte offset after its end.
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
