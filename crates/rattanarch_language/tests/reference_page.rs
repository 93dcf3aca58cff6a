//! Every example of the operators' pages is in the language.

use rattanarch_language::parse;
use rattanarch_language::parse_script;

const LANGUAGE: &str = include_str!("../../../docs/LANGUAGE.md");
const OPERATORS: &str = include_str!("../../../docs/OPERATORS.md");

/// Contents of the page's blocks that are marked as `rattanarch`.
fn examples(page: &str) -> Vec<&str> {
    let blocks = page.split("```rattanarch\n").skip(1);
    blocks.map(|block| block.split("```").next().expect("a first part")).collect()
}

fn check(page: &str, least: usize) {
    let mut count = 0;
    for example in examples(page) {
        let lines = parse_script(example).unwrap_or_else(|e| panic!("{}", e.render(example)));
        for line in lines {
            count += 1;
            assert_eq!(parse(&line.statement.to_string()), Ok(line.statement));
        }
    }
    assert!(count >= least, "only {count} examples were found");
}

#[test]
fn language_page() {
    check(LANGUAGE, 30);
}

#[test]
fn operators_page() {
    check(OPERATORS, 10);
}
