//! State that is replaced with each version of the record or the configuration.

mod freshness;
mod gaining_members;
mod standing;
mod view;
mod watchers;

pub(crate) use freshness::Freshness;
pub(crate) use gaining_members::gaining_members;
pub(crate) use standing::excluded_members;
pub(crate) use standing::is_excluded;
pub(crate) use standing::lost_members;
pub use view::Grant;
pub use view::View;
pub use view::Views;
pub(crate) use watchers::is_watcher;
