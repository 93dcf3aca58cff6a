//! Handling of a single request: ownership check, admission, forwarding, retries and the response.

mod admission;
mod body;
mod call;
mod control;
mod error;
mod error_counts;
mod exchange;
mod explain;
mod forward;
mod handler;
mod headers;
mod hedge;
mod load_meter;
mod local;
mod member_selector;
mod misdirected;
mod outcome;
mod peers;
mod reason;
mod repeat_cache;
mod response;
mod response_body;
mod running_requests;
mod settings;
mod target;
mod unkeyed;

pub(crate) use body::OutgoingBody;
pub use error::RequestError;
pub use handler::RequestHandler;
pub use load_meter::LoadMeter;
pub use load_meter::LoadRates;
pub use running_requests::RunningRequests;
pub use running_requests::UnresolvedRequest;
pub use settings::RequestSettings;
