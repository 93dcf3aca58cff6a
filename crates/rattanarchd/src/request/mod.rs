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
mod handler;
mod headers;
mod hedge;
mod job;
mod load_meter;
mod local;
mod misdirected;
mod outcome;
mod peers;
mod reason;
mod refusals;
mod repeats;
mod running_requests;
mod settings;
mod spread;
mod target;

pub(crate) use body::OutgoingBody;
pub use error::RequestError;
pub use handler::RequestHandler;
pub use load_meter::LoadMeter;
pub use load_meter::LoadRates;
pub use running_requests::RunningRequests;
pub use running_requests::UnresolvedRequest;
pub use settings::RequestSettings;
