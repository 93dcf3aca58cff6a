//! What lives for one version of the shared state.

mod view;

pub use view::Grant;
pub use view::View;
pub use view::Views;
