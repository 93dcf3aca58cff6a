//! Statements of the language: their types, parsers and canonical text.

use std::fmt;
use std::time::Duration;

use rattanarch_config::Command;
use rattanarch_config::Query;
use rattanarch_config::quoted;
use rattanarch_types::FirmName;
use rattanarch_types::Version;
use winnow::Parser;
use winnow::combinator::alt;
use winnow::combinator::opt;
use winnow::combinator::preceded;

use crate::command::command;
use crate::input::Input;
use crate::input::Parsed;
use crate::input::end;
use crate::input::keyword;
use crate::query::query;
use crate::value::duration;
use crate::value::name;
use crate::value::version;

/// Condition that a `wait` statement waits for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Condition {
    /// All members apply the given configuration version, or the newest known one if `None`.
    InForce(Option<Version>),
    /// The query returns at least one row.
    Any(Query),
    /// The query returns no row.
    None(Query),
}

/// What a statement does.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Shows the current state.
    Show(Query),
    /// Changes the configuration.
    Change {
        /// The change to make.
        command: Command,
        /// Configuration version that the change requires; the change is refused if the version is another.
        expected: Option<Version>,
        /// Whether the statement ends in `twice`, which confirms a change that is risky.
        confirmed: bool,
    },
    /// Shows the effects that a command would have.
    DryRun(Command),
    /// Waits until a condition holds.
    Wait {
        /// The condition.
        condition: Condition,
        /// Timeout, in whole milliseconds.
        within: Duration,
    },
}

/// One statement of the language.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Statement {
    /// What the statement does.
    pub action: Action,
    /// Firm that the statement is about. `None` means the firm of the operator, or that of the daemon if the
    /// operator belongs to the shared rota.
    pub firm: Option<FirmName>,
}

/// Parses `ACTION [for FIRM]`.
pub(crate) fn statement(input: &mut Input<'_>) -> Parsed<Statement> {
    let action = alt((show, dry_run, wait, change)).parse_next(input)?;
    let firm = opt(preceded(keyword("for"), name("a firm"))).parse_next(input)?;
    end(input)?;
    Ok(Statement { action, firm })
}

fn show(input: &mut Input<'_>) -> Parsed<Action> {
    preceded(keyword("show"), query).map(Action::Show).parse_next(input)
}

fn dry_run(input: &mut Input<'_>) -> Parsed<Action> {
    let run = (keyword("dry"), keyword("run"));
    preceded(run, command).map(Action::DryRun).parse_next(input)
}

fn change(input: &mut Input<'_>) -> Parsed<Action> {
    let command = command(input)?;
    let expected = preceded((keyword("at"), keyword("version")), version);
    let expected = opt(expected).parse_next(input)?;
    let confirmed = opt(keyword("twice")).parse_next(input)?.is_some();
    Ok(Action::Change { command, expected, confirmed })
}

fn wait(input: &mut Input<'_>) -> Parsed<Action> {
    (keyword("wait"), keyword("until")).void().parse_next(input)?;
    let condition = condition(input)?;
    let within = preceded(keyword("within"), duration).parse_next(input)?;
    Ok(Action::Wait { condition, within })
}

fn condition(input: &mut Input<'_>) -> Parsed<Condition> {
    let in_force = || (keyword("in"), keyword("force")).void();
    let numbered = (keyword("version"), version, in_force())
        .map(|((), version, ())| Condition::InForce(Some(version)));
    alt((
        in_force().value(Condition::InForce(None)),
        numbered,
        preceded(keyword("any"), query).map(Condition::Any),
        preceded(keyword("no"), query).map(Condition::None),
    ))
    .parse_next(input)
}

impl fmt::Display for Condition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::InForce(None) => write!(f, "in force"),
            Self::InForce(Some(version)) => write!(f, "version {version} in force"),
            Self::Any(query) => write!(f, "any {query}"),
            Self::None(query) => write!(f, "no {query}"),
        }
    }
}

impl fmt::Display for Action {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Show(query) => write!(f, "show {query}"),
            Self::Change { command, expected, confirmed } => {
                write!(f, "{command}")?;
                if let Some(version) = expected {
                    write!(f, " at version {version}")?;
                }
                f.write_str(if *confirmed { " twice" } else { "" })
            }
            Self::DryRun(command) => write!(f, "dry run {command}"),
            Self::Wait { condition, within } => {
                write!(f, "wait until {condition} within {}ms", within.as_millis())
            }
        }
    }
}

impl fmt::Display for Statement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.action)?;
        match &self.firm {
            Some(firm) => write!(f, " for {}", quoted(firm)),
            None => Ok(()),
        }
    }
}
