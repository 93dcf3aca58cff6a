//! Every example on the operators' pages can be parsed, and its printed form parses to the same statement.

use rattanarch_language::parse;
use rattanarch_language::parse_script;

const LANGUAGE: &str = include_str!("../../../docs/LANGUAGE.md");
const OPERATORS: &str = include_str!("../../../docs/OPERATORS.md");

/// Contents of the code blocks of the page that are marked as `rattanarch`.
fn examples(page: &str) -> Vec<&str> {
    let blocks = page.split("```rattanarch\n").skip(1);
    blocks.map(|block| block.split("```").next().expect("a first part")).collect()
}

/// Checks all examples of `page`. Fails if there are fewer than `min_count` statements, for instance because the marker of
/// the code blocks has changed.
fn check(page: &str, min_count: usize) {
    let mut count = 0;
    for example in examples(page) {
        let statements = parse_script(example).unwrap_or_else(|e| panic!("{}", e.render(example)));
        for parsed in statements {
            count += 1;
            assert_eq!(parse(&parsed.statement.to_string()), Ok(parsed.statement));
        }
    }
    assert!(count >= min_count, "only {count} examples were found");
}

/// The examples of `LANGUAGE.md` are valid.
#[test]
fn language_page() {
    check(LANGUAGE, 30);
}

/// The examples of `OPERATORS.md` are valid.
#[test]
fn operators_page() {
    check(OPERATORS, 10);
}
