//! What lives for one version of the shared state.

mod freshness;
mod gains;
mod intent;
mod view;
mod watchers;

pub(crate) use freshness::Freshness;
pub(crate) use gains::gaining_members;
pub(crate) use intent::barred_members;
pub(crate) use intent::is_barred;
pub(crate) use intent::lost_members;
pub use view::Grant;
pub use view::View;
pub use view::Views;
pub(crate) use watchers::is_watcher;
