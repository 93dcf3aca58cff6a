//! Parsers of names, numbers, durations and phrases that several statements share.

use std::time::Duration;

use winnow::Parser;
use winnow::combinator::alt;

use crate::input::Input;
use crate::input::Parsed;
use crate::input::keyword;
use crate::input::value;

/// Parses a name, with or without quotes. Syntax errors list `description` as what was expected.
pub(crate) fn name<'t>(description: &'static str) -> impl FnMut(&mut Input<'t>) -> Parsed<String> {
    value(description, |text| Some(text.to_owned()))
}

/// Parses a configuration version.
pub(crate) fn version(input: &mut Input<'_>) -> Parsed<u64> {
    value("a version number", |text| text.parse().ok())(input)
}

/// Parses a boot id, in decimal or in hexadecimal after `0x`.
pub(crate) fn boot_id(input: &mut Input<'_>) -> Parsed<u64> {
    value("a boot id, such as 0x1f", |text| match text.strip_prefix("0x") {
        Some(digits) => u64::from_str_radix(digits, 16).ok(),
        None => text.parse().ok(),
    })(input)
}

/// Parses a duration, such as `500ms`, `10s` or `2m`.
pub(crate) fn duration(input: &mut Input<'_>) -> Parsed<Duration> {
    value("a duration, such as 10s or 500ms", read_duration)(input)
}

fn read_duration(text: &str) -> Option<Duration> {
    let digits = text.bytes().take_while(u8::is_ascii_digit).count();
    let (number, unit) = text.split_at(digits);
    let number: u64 = number.parse().ok()?;
    match unit {
        "ms" => Some(Duration::from_millis(number)),
        "s" => Some(Duration::from_secs(number)),
        "m" => Some(Duration::from_secs(number.checked_mul(60)?)),
        _ => None,
    }
}

/// Parses `data-centre` or `data centre`.
pub(crate) fn data_centre(input: &mut Input<'_>) -> Parsed<()> {
    alt((keyword("data-centre"), (keyword("data"), keyword("centre")).void())).parse_next(input)
}

/// Parses the clause `in SERVICE` and returns the service's name.
pub(crate) fn service_clause(input: &mut Input<'_>) -> Parsed<String> {
    (keyword("in"), name("a service")).map(|((), service)| service).parse_next(input)
}
