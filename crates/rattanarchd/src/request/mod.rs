//! What lives for one request.

mod admission;
mod answer;
mod body;
mod control;
mod error;
mod exchange;
mod headers;
mod job;
mod path;
mod running;
mod settings;
mod target;

pub(crate) use body::OutBody;
pub use error::RequestError;
pub use path::RequestPath;
pub use running::Running;
pub use running::Unsettled;
pub use settings::RequestSettings;
