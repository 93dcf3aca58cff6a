//! The parser's input, and how far it got.

use std::cell::RefCell;

use winnow::error::EmptyError;
use winnow::stream::Location;
use winnow::stream::Stateful;
use winnow::stream::Stream;
use winnow::stream::TokenSlice;

use crate::ParseError;
use crate::token::Kind;
use crate::token::Token;

/// Tokens of one statement, with the note of what would have fitted.
pub(crate) type Input<'t> = Stateful<TokenSlice<'t, Token>, &'t Reach>;
/// What a parser of the grammar returns; the error is in the [`Reach`].
pub(crate) type Parsed<T> = Result<T, EmptyError>;

/// What would have fitted at the furthest token that any branch of the grammar reached.
///
/// Branches that fail are dropped by the combinators; the furthest of them is the one that the
/// operator meant.
#[derive(Debug, Default)]
pub(crate) struct Reach(RefCell<Furthest>);

#[derive(Debug, Default)]
struct Furthest {
    /// Byte of the token.
    at: usize,
    /// Its text; `None` at the end of the statement.
    found: Option<String>,
    /// Keywords that would have fitted.
    words: Vec<&'static str>,
    /// Kinds of value that would have fitted.
    kinds: Vec<&'static str>,
}

impl Reach {
    fn note(&self, input: &Input<'_>, word: Option<&'static str>, kind: Option<&'static str>) {
        let token = input.peek_token();
        let at = token.map_or_else(|| input.previous_token_end(), |token| token.start);
        let mut furthest = self.0.borrow_mut();
        if at < furthest.at {
            return;
        }
        if at > furthest.at {
            *furthest = Furthest { at, ..Furthest::default() };
        }
        furthest.found = token.map(text_of);
        add(&mut furthest.words, word);
        add(&mut furthest.kinds, kind);
    }

    /// The error that it amounts to.
    pub(crate) fn into_error(self, text: &str) -> ParseError {
        let furthest = self.0.into_inner();
        let words = furthest.words.iter().map(|word| format!("{word:?}"));
        let kinds = furthest.kinds.iter().map(|kind| (*kind).to_owned());
        let nearest = furthest.found.as_deref().and_then(|found| nearest(found, &furthest.words));
        let expected = words.chain(kinds).collect();
        let error = ParseError::at(text, furthest.at, furthest.found, expected);
        ParseError { nearest, ..error }
    }
}

fn add(list: &mut Vec<&'static str>, item: Option<&'static str>) {
    if let Some(item) = item
        && !list.contains(&item)
    {
        list.push(item);
    }
}

fn text_of(token: &Token) -> String {
    match &token.kind {
        Kind::Word(text) | Kind::Quoted(text) => text.clone(),
        Kind::Sign(test) => test.to_string(),
        Kind::Comma => ",".to_owned(),
        Kind::End => ";".to_owned(),
    }
}

/// The word that differs least from `found`, if at most a third of its letters differ.
fn nearest(found: &str, words: &[&'static str]) -> Option<String> {
    let distance = |word: &&&str| strsim::damerau_levenshtein(found, word);
    let best = words.iter().min_by_key(distance)?;
    let limit = best.chars().count().div_ceil(3);
    (distance(&best) <= limit).then(|| (*best).to_owned())
}

/// Takes the next token if `read` takes it, else notes what would have fitted.
fn take<'t, T>(
    input: &mut Input<'t>,
    word: Option<&'static str>,
    kind: Option<&'static str>,
    read: impl Fn(&'t Kind) -> Option<T>,
) -> Parsed<T> {
    let start = input.checkpoint();
    if let Some(value) = input.next_token().and_then(|token| read(&token.kind)) {
        return Ok(value);
    }
    input.reset(&start);
    input.state.note(input, word, kind);
    Err(EmptyError)
}

/// Parser of one keyword.
pub(crate) fn keyword<'t>(word: &'static str) -> impl FnMut(&mut Input<'t>) -> Parsed<()> {
    move |input| {
        take(input, Some(word), None, |kind| match kind {
            Kind::Word(found) if found == word => Some(()),
            _ => None,
        })
    }
}

/// Parser of a value, which `read` takes from a word; `kind` names it in errors.
pub(crate) fn value<'t, T>(
    kind: &'static str,
    read: impl Fn(&str) -> Option<T>,
) -> impl FnMut(&mut Input<'t>) -> Parsed<T> {
    move |input| {
        take(input, None, Some(kind), |token| match token {
            Kind::Word(text) | Kind::Quoted(text) => read(text),
            _ => None,
        })
    }
}

/// Parser of any token that `read` takes.
pub(crate) fn sign<'t, T>(
    kind: &'static str,
    read: impl Fn(&Kind) -> Option<T>,
) -> impl FnMut(&mut Input<'t>) -> Parsed<T> {
    move |input| take(input, None, Some(kind), &read)
}

/// Parser of the statement's end.
pub(crate) fn end(input: &mut Input<'_>) -> Parsed<()> {
    if input.peek_token().is_none() {
        return Ok(());
    }
    input.state.note(input, None, Some("the end of the statement"));
    Err(EmptyError)
}
