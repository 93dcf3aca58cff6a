//! What lives for one request.

mod admission;
mod answer;
mod answer_body;
mod body;
mod chooser;
mod control;
mod error;
mod exchange;
mod forward;
mod headers;
mod hedge;
mod job;
mod load_meter;
mod local;
mod misdirected;
mod outcome;
mod path;
mod peers;
mod reason;
mod refusals;
mod repeats;
mod running;
mod settings;
mod spread;
mod target;

pub(crate) use body::OutBody;
pub use error::RequestError;
pub use load_meter::LoadMeter;
pub use load_meter::LoadRates;
pub use path::RequestPath;
pub use running::Running;
pub use running::Unsettled;
pub use settings::RequestSettings;
