//! Lexer.

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
use crate::token::Token;
use crate::token::TokenKind;

type Text<'a> = LocatingSlice<&'a str>;
type Lexed<T> = Result<T, EmptyError>;

/// Splits `text` into tokens; a comment extends from `#` to the end of the line.
pub(crate) fn lex(text: &str) -> Result<Vec<Token>, ParseError> {
    let mut input = Text::new(text);
    let mut tokens = Vec::new();
    loop {
        let _ = skip_blank(&mut input);
        if input.is_empty() {
            return Ok(tokens);
        }
        let start = input.current_token_start();
        match token(&mut input) {
            Ok(token) => tokens.push(token),
            Err(EmptyError) => return Err(lex_error(text, start)),
        }
    }
}

fn lex_error(text: &str, offset: usize) -> ParseError {
    let found = text.get(offset..).and_then(|rest| rest.chars().next());
    let expected = match found {
        Some('"') => "a closing quote on the same line",
        _ => "a word",
    };
    ParseError::at(text, offset, found.map(String::from), vec![expected.to_owned()])
}

fn skip_blank(input: &mut Text<'_>) -> Lexed<()> {
    let space = take_while(1.., |c: char| c.is_whitespace() && c != '\n').void();
    let comment = ("#", take_while(0.., |c| c != '\n')).void();
    repeat(0.., alt((space, comment))).parse_next(input)
}

fn token(input: &mut Text<'_>) -> Lexed<Token> {
    let kind = alt((end, symbol, word, quoted));
    kind.with_span()
        .map(|(kind, span)| Token { kind, start: span.start, end: span.end })
        .parse_next(input)
}

fn end(input: &mut Text<'_>) -> Lexed<TokenKind> {
    alt(("\n", ";")).value(TokenKind::End).parse_next(input)
}

fn symbol(input: &mut Text<'_>) -> Lexed<TokenKind> {
    alt((
        "!=".value(TokenKind::Comparison(Comparison::IsNot)),
        "=".value(TokenKind::Comparison(Comparison::Is)),
        "~".value(TokenKind::Comparison(Comparison::Contains)),
        ">".value(TokenKind::Comparison(Comparison::Above)),
        "<".value(TokenKind::Comparison(Comparison::Below)),
        ",".value(TokenKind::Comma),
    ))
    .parse_next(input)
}

fn word(input: &mut Text<'_>) -> Lexed<TokenKind> {
    let is_plain = |c: char| c.is_ascii_alphanumeric() || "-_./:@+%".contains(c);
    take_while(1.., is_plain).map(|word: &str| TokenKind::Word(word.to_owned())).parse_next(input)
}

fn quoted(input: &mut Text<'_>) -> Lexed<TokenKind> {
    let escaped = preceded('\\', any).map(|c| if c == 'n' { '\n' } else { c });
    let plain = none_of(['"', '\\', '\n']);
    let chars = repeat(0.., alt((escaped, plain)));
    delimited('"', chars, '"').map(TokenKind::Quoted).parse_next(input)
}
