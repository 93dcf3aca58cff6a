//! Runs the ownership protocol for this daemon's service, and exchanges shared state with other daemons.

mod change_requests;
mod gossip;
mod node;
mod rebalancing;
mod slice_drain;
mod socket;
mod state;
mod timing;

pub(crate) use change_requests::CHANGE_REQUEST_PATH;
pub(crate) use change_requests::answer_change_request;
pub(crate) use gossip::STATE_PATH;
pub(crate) use gossip::announce_join;
pub(crate) use gossip::answer_state_fetch;
pub(crate) use gossip::fetch_initial_state;
pub(crate) use gossip::gossip;
pub(crate) use gossip::push_digest;
pub(crate) use gossip::push_digest_to_affected;
pub(crate) use gossip::push_digest_to_group;
pub(crate) use gossip::push_digest_to_members;
pub(crate) use gossip::query_state;
pub(crate) use gossip::refresh_records;
pub(crate) use gossip::schedule_record_fetch;
pub(crate) use node::begin_life;
pub(crate) use node::handle_heartbeat;
pub(crate) use node::handle_newer_record;
pub(crate) use node::maintain;
pub(crate) use node::mark_ended;
pub(crate) use node::run;
pub(crate) use node::step;
pub(crate) use rebalancing::open_release_window;
pub(crate) use socket::PeerSocket;
pub(crate) use socket::receive;
pub(crate) use state::Control;
pub(crate) use timing::timing;
