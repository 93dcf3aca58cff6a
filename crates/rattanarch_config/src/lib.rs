//! Pure configuration state: operators' commands, firm isolation, versions and the audit trail.
//!
//! An [`Operator`] gives an [`Order`]: a [`Command`] with what makes it safe to race and repeat.
//! [`apply`] turns a firm's configuration into the next version, with the audit entry inside, or
//! says why not. The daemon stores the result by one conditional update. [`Held`] keeps what a
//! daemon knows and never goes back to a lower version.
//!
//! ```
//! use rattanarch_config::{Applied, Command, Operator, Order, apply};
//! use rattanarch_types::Configuration;
//!
//! let before = Configuration { firm: "coop".to_owned(), ..Configuration::default() };
//! let command = Command::CreateDataCentre { name: "nordkuehl".into(), region: "upper-at".into() };
//! let order = Order::new(Operator::of_firm("anna", "coop"), command);
//! let Ok(Applied::Changed(after)) = apply(&before, &order) else { unreachable!() };
//! assert_eq!(after.version, 1);
//! assert_eq!(after.trail.entries[0].operator, "anna");
//! ```
//!
//! No I/O, no clock and no randomness: times and write ids are arguments.

mod answer;
mod apply;
mod command;
mod edit;
mod error;
mod guidance;
mod held;
mod limits;
mod operator;
mod order;
mod page;
mod place;
mod query;
mod table;
mod text;

pub use answer::Answer;
pub use answer::Coverage;
pub use answer::Request;
pub use answer::Seen;
pub use apply::Applied;
pub use apply::apply;
pub use command::Command;
pub use command::RouteChange;
pub use error::CommandError;
pub use guidance::Guidance;
pub use guidance::Heard;
pub use held::Held;
pub use operator::Operator;
pub use order::Order;
pub use page::PAGES;
pub use page::Page;
pub use page::TRAIL_KEPT;
pub use page::TRAIL_LIMIT;
pub use page::TRAIL_MOVED;
pub use page::page_of;
pub use page::page_path;
pub use place::Place;
pub use place::check_places;
pub use query::Filter;
pub use query::Query;
pub use query::Subject;
pub use query::Test;
pub use table::Table;
pub use text::quoted;
