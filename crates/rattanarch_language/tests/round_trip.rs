//! Parsing the text of a statement returns the same statement; no text causes a panic.

#![expect(clippy::needless_pass_by_value, reason = "quickcheck passes by value")]

use std::time::Duration;

use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use rattanarch_config::Command;
use rattanarch_config::Comparison;
use rattanarch_config::Filter;
use rattanarch_config::Query;
use rattanarch_config::RouteChange;
use rattanarch_config::Subject;
use rattanarch_language::Action;
use rattanarch_language::Condition;
use rattanarch_language::Statement;
use rattanarch_language::parse;
use rattanarch_language::parse_script;
use rattanarch_types::KeySource;
use rattanarch_types::Priority;
use rattanarch_types::Sharing;
use rattanarch_types::Standing;

const SEED: u64 = 6;

#[derive(Clone, Debug)]
struct AnyStatement(Statement);

impl Arbitrary for AnyStatement {
    fn arbitrary(g: &mut Gen) -> Self {
        let action = match u8::arbitrary(g) % 4 {
            0 => Action::Show(query(g)),
            1 => Action::Change {
                command: command(g),
                expected: Option::arbitrary(g),
                confirmed: bool::arbitrary(g),
            },
            2 => Action::DryRun(command(g)),
            _ => Action::Wait { condition: condition(g), within: millis(g) },
        };
        Self(Statement { action, firm: bool::arbitrary(g).then(|| name(g)) })
    }
}

fn name(g: &mut Gen) -> String {
    let plain = ["nordkuehl", "for", "where", "twice", "in", "tank 17", "", "a\"b\\c", "x\ny"];
    match bool::arbitrary(g) {
        true => (*g.choose(&plain).expect("not empty")).to_owned(),
        false => String::arbitrary(g),
    }
}

fn millis(g: &mut Gen) -> Duration {
    Duration::from_millis(u64::from(u32::arbitrary(g)))
}

fn condition(g: &mut Gen) -> Condition {
    match u8::arbitrary(g) % 3 {
        0 => Condition::InForce(Option::arbitrary(g)),
        1 => Condition::Any(query(g)),
        _ => Condition::None(query(g)),
    }
}

fn query(g: &mut Gen) -> Query {
    let subject = match u8::arbitrary(g) % 9 {
        0 => Subject::Services,
        1 => Subject::DataCentres,
        2 => Subject::Upstreams,
        3 => Subject::Key { key: name(g), service: name(g) },
        4 => Subject::Rules,
        5 => Subject::Configuration,
        6 => Subject::Load,
        7 => Subject::Refusals,
        _ => Subject::Audit,
    };
    let names = subject.columns();
    let column = |g: &mut Gen| (*g.choose(names).expect("not empty")).to_owned();
    let comparisons = [
        Comparison::Is,
        Comparison::IsNot,
        Comparison::Contains,
        Comparison::Above,
        Comparison::Below,
    ];
    let filters = (0..u8::arbitrary(g) % 3)
        .map(|_| Filter {
            column: column(g),
            comparison: *g.choose(&comparisons).expect("not empty"),
            value: name(g),
        })
        .collect();
    let columns = (0..u8::arbitrary(g) % 3).map(|_| column(g)).collect();
    Query { subject, filters, columns }
}

fn route(g: &mut Gen) -> RouteChange {
    let keys = [None, Some(KeySource::Header), Some(KeySource::Segment(u8::arbitrary(g)))];
    let priorities =
        [None, Some(Priority::Deferrable), Some(Priority::Normal), Some(Priority::Urgent)];
    RouteChange {
        key: *g.choose(&keys).expect("not empty"),
        priority: *g.choose(&priorities).expect("not empty"),
        timeout: bool::arbitrary(g).then(|| millis(g)),
    }
}

fn command(g: &mut Gen) -> Command {
    let service = name(g);
    let sharing =
        if bool::arbitrary(g) { Sharing::Keyed(u16::arbitrary(g)) } else { Sharing::Unkeyed };
    let standing = if bool::arbitrary(g) { Standing::In } else { Standing::Out };
    match u8::arbitrary(g) % 12 {
        0 => Command::CreateService { service, sharing, route: route(g) },
        1 => Command::ChangeService { service, route: route(g) },
        2 => Command::RemoveService { service },
        3 => Command::CreateDataCentre { name: service, region: name(g) },
        4 => Command::ChangeDataCentre { name: service, region: name(g) },
        5 => Command::RemoveDataCentre { name: service },
        6 => Command::CreateRoute { service, prefix: name(g), route: route(g) },
        7 => Command::ChangeRoute { service, prefix: name(g), route: route(g) },
        8 => Command::RemoveRoute { service, prefix: name(g) },
        9 => Command::SetDataCentre { name: service, standing },
        10 => Command::SetInstance { service, instance: name(g), standing },
        _ => Command::DeclareLost { service, boot: u64::arbitrary(g) },
    }
}

fn check(tests: u64) -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(20, SEED)).tests(tests)
}

#[test]
fn printed_parses() {
    fn property(statement: AnyStatement) -> bool {
        parse(&statement.0.to_string()).as_ref() == Ok(&statement.0)
    }
    check(5_000).quickcheck(property as fn(AnyStatement) -> bool);
}

#[test]
fn text_never_panics() {
    fn property(text: String) -> bool {
        let _ = parse(&text);
        parse_script(&text).err().is_none_or(|error| !error.render(&text).is_empty())
    }
    check(5_000).quickcheck(property as fn(String) -> bool);
}

/// Changes one character of a valid statement, so that the parser gets far into a branch before it fails.
#[test]
fn damaged_never_panics() {
    fn property(statement: AnyStatement, at: usize, c: char) -> bool {
        let mut chars: Vec<char> = statement.0.to_string().chars().collect();
        let at = at % chars.len();
        chars[at] = c;
        let text: String = chars.into_iter().collect();
        parse(&text).err().is_none_or(|error| !error.render(&text).is_empty())
    }
    check(5_000).quickcheck(property as fn(AnyStatement, usize, char) -> bool);
}
