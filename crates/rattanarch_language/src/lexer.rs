//! From text to tokens.

use rattanarch_config::Comparison;
use winnow::Parser;
use winnow::combinator::alt;
use winnow::combinator::delimited;
use winnow::combinator::preceded;
use winnow::combinator::repeat;
use winnow::error::EmptyError;
use winnow::stream::LocatingSlice;
use winnow::stream::Location;
use winnow::token::any;
use winnow::token::none_of;
use winnow::token::take_while;

use crate::ParseError;
use crate::token::Kind;
use crate::token::Token;

type Text<'a> = LocatingSlice<&'a str>;
type Lexed<T> = Result<T, EmptyError>;

/// Splits `text` into tokens; comments run from `#` to the line's end.
pub(crate) fn lex(text: &str) -> Result<Vec<Token>, ParseError> {
    let mut input = Text::new(text);
    let mut tokens = Vec::new();
    loop {
        let _ = blank(&mut input);
        if input.is_empty() {
            return Ok(tokens);
        }
        let start = input.current_token_start();
        match token(&mut input) {
            Ok(token) => tokens.push(token),
            Err(EmptyError) => return Err(fault(text, start)),
        }
    }
}

fn fault(text: &str, at: usize) -> ParseError {
    let found = text.get(at..).and_then(|rest| rest.chars().next());
    let expected = match found {
        Some('"') => "a closing quote on the same line",
        _ => "a word",
    };
    ParseError::at(text, at, found.map(String::from), vec![expected.to_owned()])
}

fn blank(input: &mut Text<'_>) -> Lexed<()> {
    let space = take_while(1.., |c: char| c.is_whitespace() && c != '\n').void();
    let comment = ("#", take_while(0.., |c| c != '\n')).void();
    repeat(0.., alt((space, comment))).parse_next(input)
}

fn token(input: &mut Text<'_>) -> Lexed<Token> {
    let kind = alt((end, sign, word, quoted));
    kind.with_span()
        .map(|(kind, span)| Token { kind, start: span.start, end: span.end })
        .parse_next(input)
}

fn end(input: &mut Text<'_>) -> Lexed<Kind> {
    alt(("\n", ";")).value(Kind::End).parse_next(input)
}

fn sign(input: &mut Text<'_>) -> Lexed<Kind> {
    alt((
        "!=".value(Kind::Sign(Comparison::IsNot)),
        "=".value(Kind::Sign(Comparison::Is)),
        "~".value(Kind::Sign(Comparison::Contains)),
        ">".value(Kind::Sign(Comparison::Above)),
        "<".value(Kind::Sign(Comparison::Below)),
        ",".value(Kind::Comma),
    ))
    .parse_next(input)
}

fn word(input: &mut Text<'_>) -> Lexed<Kind> {
    let is_plain = |c: char| c.is_ascii_alphanumeric() || "-_./:@+%".contains(c);
    take_while(1.., is_plain).map(|word: &str| Kind::Word(word.to_owned())).parse_next(input)
}

fn quoted(input: &mut Text<'_>) -> Lexed<Kind> {
    let escaped = preceded('\\', any).map(|c| if c == 'n' { '\n' } else { c });
    let plain = none_of(['"', '\\', '\n']);
    let chars = repeat(0.., alt((escaped, plain)));
    delimited('"', chars, '"').map(Kind::Quoted).parse_next(input)
}
