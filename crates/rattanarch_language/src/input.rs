//! Input of the parser, elementary parsers, and what they expected where parsing failed.

use std::cell::RefCell;

use winnow::error::EmptyError;
use winnow::stream::Location;
use winnow::stream::Stateful;
use winnow::stream::Stream;
use winnow::stream::TokenSlice;

use crate::ParseError;
use crate::token::Token;
use crate::token::TokenKind;

/// Tokens of one statement, with what the parser expected.
pub(crate) type Input<'t> = Stateful<TokenSlice<'t, Token>, &'t Expectations>;
/// Result of a parser of the grammar; the details of an error are in [`Expectations`].
pub(crate) type Parsed<T> = Result<T, EmptyError>;

/// What was expected at the furthest token that any branch of the grammar reached.
///
/// Combinators discard the errors of failed branches. The branch that got furthest is most likely the one that
/// the operator meant.
#[derive(Debug, Default)]
pub(crate) struct Expectations(RefCell<Furthest>);

#[derive(Debug, Default)]
struct Furthest {
    /// Byte offset of the token.
    offset: usize,
    /// Text of the token; `None` at the end of the statement.
    found: Option<String>,
    /// Expected keywords.
    keywords: Vec<&'static str>,
    /// Descriptions of the expected values.
    values: Vec<&'static str>,
}

impl Expectations {
    fn add(&self, input: &Input<'_>, keyword: Option<&'static str>, value: Option<&'static str>) {
        let token = input.peek_token();
        let offset = token.map_or_else(|| input.previous_token_end(), |token| token.start);
        let mut furthest = self.0.borrow_mut();
        if offset < furthest.offset {
            return;
        }
        if offset > furthest.offset {
            *furthest = Furthest { offset, ..Furthest::default() };
        }
        furthest.found = token.map(token_text);
        push_unique(&mut furthest.keywords, keyword);
        push_unique(&mut furthest.values, value);
    }

    /// Converts to the error for `text`.
    pub(crate) fn into_error(self, text: &str) -> ParseError {
        let furthest = self.0.into_inner();
        let keywords = furthest.keywords.iter().map(|keyword| format!("{keyword:?}"));
        let values = furthest.values.iter().map(|value| (*value).to_owned());
        let nearest =
            furthest.found.as_deref().and_then(|found| nearest(found, &furthest.keywords));
        let expected = keywords.chain(values).collect();
        let error = ParseError::at(text, furthest.offset, furthest.found, expected);
        ParseError { nearest, ..error }
    }
}

fn push_unique(list: &mut Vec<&'static str>, item: Option<&'static str>) {
    if let Some(item) = item
        && !list.contains(&item)
    {
        list.push(item);
    }
}

fn token_text(token: &Token) -> String {
    match &token.kind {
        TokenKind::Word(text) | TokenKind::Quoted(text) => text.clone(),
        TokenKind::Comparison(comparison) => comparison.to_string(),
        TokenKind::Comma => ",".to_owned(),
        TokenKind::End => ";".to_owned(),
    }
}

/// The keyword with the smallest edit distance from `found`, if that is at most a third of its length.
fn nearest(found: &str, keywords: &[&'static str]) -> Option<String> {
    let distance = |keyword: &&&str| strsim::damerau_levenshtein(found, keyword);
    let best = keywords.iter().min_by_key(distance)?;
    let max_distance = best.chars().count().div_ceil(3);
    (distance(&best) <= max_distance).then(|| (*best).to_owned())
}

/// Consumes the next token if `read` accepts it; otherwise adds the expected keyword or value to the
/// [`Expectations`].
fn consume<'t, T>(
    input: &mut Input<'t>,
    keyword: Option<&'static str>,
    value: Option<&'static str>,
    read: impl Fn(&'t TokenKind) -> Option<T>,
) -> Parsed<T> {
    let start = input.checkpoint();
    if let Some(output) = input.next_token().and_then(|token| read(&token.kind)) {
        return Ok(output);
    }
    input.reset(&start);
    input.state.add(input, keyword, value);
    Err(EmptyError)
}

/// Parses a keyword.
pub(crate) fn keyword<'t>(word: &'static str) -> impl FnMut(&mut Input<'t>) -> Parsed<()> {
    move |input| {
        consume(input, Some(word), None, |kind| match kind {
            TokenKind::Word(found) if found == word => Some(()),
            _ => None,
        })
    }
}

/// Parses a word or quoted text as a value with `read`. Syntax errors list `description` as what was
/// expected.
pub(crate) fn value<'t, T>(
    description: &'static str,
    read: impl Fn(&str) -> Option<T>,
) -> impl FnMut(&mut Input<'t>) -> Parsed<T> {
    move |input| {
        consume(input, None, Some(description), |kind| match kind {
            TokenKind::Word(text) | TokenKind::Quoted(text) => read(text),
            _ => None,
        })
    }
}

/// Parses any token that `read` accepts. Syntax errors list `description` as what was
/// expected.
pub(crate) fn symbol<'t, T>(
    description: &'static str,
    read: impl Fn(&TokenKind) -> Option<T>,
) -> impl FnMut(&mut Input<'t>) -> Parsed<T> {
    move |input| consume(input, None, Some(description), &read)
}

/// Parses the end of the statement.
pub(crate) fn end(input: &mut Input<'_>) -> Parsed<()> {
    if input.peek_token().is_none() {
        return Ok(());
    }
    input.state.add(input, None, Some("the end of the statement"));
    Err(EmptyError)
}
