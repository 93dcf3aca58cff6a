//! The upstream on this machine: its heartbeats, the admission of requests and their exchange.

mod admission;
mod bytes_slot;
mod end_check;
mod ended_requests;
mod exchange;
mod grant_log;
mod health_check;
mod heartbeat;
mod in_flight;
mod life;
mod notices;
mod pace;
mod state;
mod trial;
mod upstream_snapshot;

pub(crate) use admission::Permit;
pub(crate) use admission::Preview;
pub(crate) use admission::admit;
pub(crate) use admission::start_waiting;
pub(crate) use ended_requests::ENDED_REQUEST_TIME;
pub(crate) use exchange::preview;
pub(crate) use exchange::run;
pub(crate) use grant_log::log_grant_changes;
pub(crate) use health_check::check_if_due;
pub(crate) use heartbeat::HeartbeatHandler;
pub(crate) use heartbeat::slices_within;
pub(crate) use life::LeavingSource;
pub(crate) use life::Life;
pub(crate) use life::LifeKey;
pub(crate) use notices::FromLeaving;
pub(crate) use notices::learn_leaving;
pub(crate) use state::Readiness;
pub(crate) use state::Upstream;
pub(crate) use state::UpstreamState;
pub(crate) use upstream_snapshot::UpstreamSnapshot;
