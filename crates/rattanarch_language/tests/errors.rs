//! Errors have the column and the most similar keyword.

use rattanarch_language::ParseError;
use rattanarch_language::parse;
use rattanarch_language::parse_script;

fn parse_error(text: &str) -> ParseError {
    parse(text).expect_err("a syntax error")
}

fn column_and_nearest(text: &str) -> (usize, Option<String>) {
    let error = parse_error(text);
    (error.column, error.nearest)
}

#[test]
fn nearest_word() {
    let near = |column, word: &str| (column, Some(word.to_owned()));
    assert_eq!(column_and_nearest("shwo services"), near(1, "show"));
    assert_eq!(column_and_nearest("show servcies"), near(6, "services"));
    assert_eq!(column_and_nearest("show upstreams wher slices > 1"), near(16, "where"));
    assert_eq!(column_and_nearest("show upstreams where slcies > 1"), near(22, "slices"));
    assert_eq!(column_and_nearest("show upstreams columns instance, slotz"), near(34, "slots"));
    assert_eq!(column_and_nearest("take out upstream a1 in reservas twise"), near(34, "twice"));
    assert_eq!(column_and_nearest("wait until in force withn 10s"), near(21, "within"));
}

#[test]
fn far_words() {
    assert_eq!(column_and_nearest("fetch everything"), (1, None));
    assert_eq!(column_and_nearest("show services \u{fc}ber"), (15, None));
}

#[test]
fn end_reached() {
    let error = parse_error("create service reservas keyed");
    assert_eq!((error.column, error.found), (30, None));
    assert_eq!(error.expected, ["a number of slices"]);
}

#[test]
fn columns_count_characters() {
    assert_eq!(parse_error("show key \"\u{e9}\u{e9}\" on reservas").column, 15);
}

#[test]
fn script_lines() {
    let error = parse_script("# first\nshow services\n\nshow nothing # here\n").unwrap_err();
    assert_eq!((error.line, error.column), (4, 6));
}

#[test]
fn open_quote() {
    let error = parse_error("show key \"tank");
    assert_eq!(error.column, 10);
    assert_eq!(error.expected, ["a closing quote on the same line"]);
}
