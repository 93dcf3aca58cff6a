//! Parsing of single statements and scripts.

use winnow::Parser;
use winnow::stream::Stateful;
use winnow::stream::TokenSlice;

use crate::ParseError;
use crate::Statement;
use crate::input::Expectations;
use crate::lexer::lex;
use crate::statement::statement;
use crate::token::Token;
use crate::token::TokenKind;

/// A statement of a script.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ScriptStatement {
    /// Line on which the statement starts, counted from 1.
    pub number: usize,
    /// The statement.
    pub statement: Statement,
}

/// Parses one statement.
///
/// # Errors
/// The first syntax error.
pub fn parse(text: &str) -> Result<Statement, ParseError> {
    let tokens = lex(text)?;
    let trimmed = trim_ends(&tokens);
    parse_tokens(text, trimmed)
}

/// Parses statements, each of which ends with a line break or `;`. A `#` starts a comment.
///
/// # Errors
/// The first syntax error.
pub fn parse_script(text: &str) -> Result<Vec<ScriptStatement>, ParseError> {
    let tokens = lex(text)?;
    let groups = tokens.split(|token| token.kind == TokenKind::End);
    let mut lines = Vec::new();
    for group in groups.filter(|group| !group.is_empty()) {
        let number = text[..group[0].start].matches('\n').count() + 1;
        lines.push(ScriptStatement { number, statement: parse_tokens(text, group)? });
    }
    Ok(lines)
}

/// Removes statement ends at the start and the end of `tokens`.
fn trim_ends(tokens: &[Token]) -> &[Token] {
    let is_content = |token: &Token| token.kind != TokenKind::End;
    let Some(first) = tokens.iter().position(is_content) else { return &[] };
    let last = tokens.iter().rposition(is_content).unwrap_or(first);
    &tokens[first..=last]
}

fn parse_tokens(text: &str, tokens: &[Token]) -> Result<Statement, ParseError> {
    let expectations = Expectations::default();
    let mut input = Stateful { input: TokenSlice::new(tokens), state: &expectations };
    match statement.parse_next(&mut input) {
        Ok(statement) => Ok(statement),
        Err(_) => Err(expectations.into_error(text)),
    }
}
