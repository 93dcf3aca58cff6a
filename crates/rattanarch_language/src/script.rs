//! Statements in a text.

use winnow::Parser;
use winnow::stream::Stateful;
use winnow::stream::TokenSlice;

use crate::ParseError;
use crate::Statement;
use crate::input::Reach;
use crate::lexer::lex;
use crate::statement::statement;
use crate::token::Kind;
use crate::token::Token;

/// A statement of a script.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ScriptStatement {
    /// Line that it stands on, from 1.
    pub number: usize,
    /// What it says.
    pub statement: Statement,
}

/// Reads one statement.
///
/// # Errors
/// Where the text leaves the language.
pub fn parse(text: &str) -> Result<Statement, ParseError> {
    let tokens = lex(text)?;
    let trimmed = trim(&tokens);
    parse_tokens(text, trimmed)
}

/// Reads statements that end with a line or `;`; a `#` starts a comment.
///
/// # Errors
/// Where the text first leaves the language.
pub fn parse_script(text: &str) -> Result<Vec<ScriptStatement>, ParseError> {
    let tokens = lex(text)?;
    let groups = tokens.split(|token| token.kind == Kind::End);
    let mut lines = Vec::new();
    for group in groups.filter(|group| !group.is_empty()) {
        let number = text[..group[0].start].matches('\n').count() + 1;
        lines.push(ScriptStatement { number, statement: parse_tokens(text, group)? });
    }
    Ok(lines)
}

fn trim(tokens: &[Token]) -> &[Token] {
    let is_word = |token: &Token| token.kind != Kind::End;
    let Some(first) = tokens.iter().position(is_word) else { return &[] };
    let last = tokens.iter().rposition(is_word).unwrap_or(first);
    &tokens[first..=last]
}

fn parse_tokens(text: &str, tokens: &[Token]) -> Result<Statement, ParseError> {
    let reach = Reach::default();
    let mut input = Stateful { input: TokenSlice::new(tokens), state: &reach };
    match statement.parse_next(&mut input) {
        Ok(statement) => Ok(statement),
        Err(_) => Err(reach.into_error(text)),
    }
}
