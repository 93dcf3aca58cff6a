//! Parsers of queries.

use rattanarch_config::Comparison;
use rattanarch_config::Filter;
use rattanarch_config::Query;
use rattanarch_config::Subject;
use winnow::Parser;
use winnow::combinator::alt;
use winnow::combinator::opt;
use winnow::combinator::preceded;
use winnow::combinator::separated;
use winnow::error::EmptyError;

use crate::input::Input;
use crate::input::Parsed;
use crate::input::keyword;
use crate::input::symbol;
use crate::token::TokenKind;
use crate::value::name;
use crate::value::service_clause;

/// Parses `SUBJECT [where FILTER {and FILTER}] [columns COLUMN {, COLUMN}]`
pub(crate) fn query(input: &mut Input<'_>) -> Parsed<Query> {
    let subject = subject(input)?;
    let columns = subject.columns();
    let filter = |input: &mut Input<'_>| filter(columns, input);
    let mut filters = opt(preceded(keyword("where"), separated(1.., filter, keyword("and"))));
    let filters: Option<Vec<Filter>> = filters.parse_next(input)?;
    let column = |input: &mut Input<'_>| column(columns, input);
    let comma = symbol("\",\"", |kind| (*kind == TokenKind::Comma).then_some(()));
    let mut selected = opt(preceded(keyword("columns"), separated(1.., column, comma)));
    let selected: Option<Vec<String>> = selected.parse_next(input)?;
    Ok(Query {
        subject,
        filters: filters.unwrap_or_default(),
        columns: selected.unwrap_or_default(),
    })
}

fn subject(input: &mut Input<'_>) -> Parsed<Subject> {
    alt((
        keyword("services").value(Subject::Services),
        data_centres,
        keyword("upstreams").value(Subject::Upstreams),
        key,
        keyword("rules").value(Subject::Rules),
        keyword("configuration").value(Subject::Configuration),
        keyword("load").value(Subject::Load),
        keyword("refusals").value(Subject::Refusals),
        keyword("audit").value(Subject::Audit),
    ))
    .parse_next(input)
}

fn data_centres(input: &mut Input<'_>) -> Parsed<Subject> {
    let two_words = (keyword("data"), keyword("centres")).void();
    alt((keyword("data-centres"), two_words)).value(Subject::DataCentres).parse_next(input)
}

fn key(input: &mut Input<'_>) -> Parsed<Subject> {
    let parts = (keyword("key"), name("a key"), service_clause);
    parts.map(|((), key, service)| Subject::Key { key, service }).parse_next(input)
}

fn filter(columns: &'static [&'static str], input: &mut Input<'_>) -> Parsed<Filter> {
    let column = column(columns, input)?;
    let comparison = symbol("one of = != ~ > <", comparison)(input)?;
    let value = name("a value")(input)?;
    Ok(Filter { column, comparison, value })
}

fn comparison(kind: &TokenKind) -> Option<Comparison> {
    match kind {
        TokenKind::Comparison(comparison) => Some(*comparison),
        _ => None,
    }
}

fn column(columns: &'static [&'static str], input: &mut Input<'_>) -> Parsed<String> {
    for column in columns {
        if keyword(column)(input).is_ok() {
            return Ok((*column).to_owned());
        }
    }
    Err(EmptyError)
}
