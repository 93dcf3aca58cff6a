//! Query and command language for operators.
//!
//! A statement is a query (`show upstreams where slices > 10`), a command (`take out data-centre nordkuehl`), a
//! dry run of a command (`dry run …`) or a wait for a condition (`wait until in force within 10s`).
//! [`parse`] parses one [`Statement`], [`parse_script`] several. The `Display` form of a statement is its
//! canonical text, which parses to the same statement. A [`ParseError`] has the column of the error and the
//! most similar expected keyword. `docs/LANGUAGE.md` is the reference.
//!
//! ```
//! use rattanarch_language::parse;
//!
//! let statement = parse("drain data centre nordkuehl for coop")?;
//! assert_eq!(statement.to_string(), "take out data-centre nordkuehl for coop");
//!
//! let error = parse("show upstraems").unwrap_err();
//! assert_eq!(error.column, 6);
//! assert_eq!(error.nearest.as_deref(), Some("upstreams"));
//! # Ok::<(), rattanarch_language::ParseError>(())
//! ```

mod command;
mod error;
mod input;
mod lexer;
mod query;
mod script;
mod statement;
mod token;
mod value;

pub use error::ParseError;
pub use script::ScriptStatement;
pub use script::parse;
pub use script::parse_script;
pub use statement::Action;
pub use statement::Condition;
pub use statement::Statement;
