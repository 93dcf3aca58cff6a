//! Pure ownership protocol: leases acknowledged by witnesses, seals, takeovers and planned releases.
//!
//! A [`Node`] is one daemon's participant in the ownership of one service. It does no I/O and reads no clock: the
//! daemon feeds it [`Event`]s with the current time and carries out the [`Action`]s that it returns. Unit tests,
//! property tests, replayed model traces and the daemon run the same code. `docs/OWNERSHIP.md` has the safety argument.
//!
//! A node joins by writing itself into the record of its service. It then renews its lease with its witnesses,
//! acknowledges the leases of members whose witness it is, takes over owners that have fallen silent, and releases
//! slices for balance or when it stops. [`Serving`] contains the keys that the daemon may serve.
//!
//! The first member of a service, with a variable in place of the platform:
//!
//! ```
//! use std::time::Duration;
//! use rattanarch_ownership::{Action, Event, Node, Refusal, Timing, WriteOutcome};
//! use rattanarch_types::{Member, Record, hash_key};
//!
//! let member = Member {
//!     instance: "hafenhalle-1".to_owned(),
//!     data_centre: "hafenhalle".to_owned(),
//!     peer: ([127, 0, 0, 1], 7000).into(),
//!     caller: ([127, 0, 0, 1], 7001).into(),
//!     slots: 20,
//!     fence: 0,
//!     term: 0,
//!     witnesses: Vec::new(),
//!     leaving: false,
//!     releases: 0,
//!     link_megabits_per_s: 0,
//! };
//! let mut node = Node::new(0xB007, member, Timing::default(), 1);
//! let mut stored = Record::new("trade-desk", 144);
//! let key = hash_key("tank-17");
//!
//! let mut now = Duration::from_secs(100);
//! while node.serving().check(now, key).is_err() {
//!     now += Duration::from_millis(40);
//!     let mut events = vec![Event::Tick];
//!     while let Some(event) = events.pop() {
//!         for action in node.step(now, event) {
//!             match action {
//!                 Action::Read => {
//!                     let record = stored.clone();
//!                     events.push(Event::Record { record, read_sent: Some(now) });
//!                 }
//!                 Action::Write(record) => {
//!                     stored = record;
//!                     let write_id = stored.write_id;
//!                     let outcome = WriteOutcome::Accepted;
//!                     events.push(Event::Written { write_id, outcome });
//!                 }
//!                 other => unreachable!("a lone member returns no {other:?}"),
//!             }
//!         }
//!     }
//! }
//! assert_eq!(stored.owner_of(key), Some(0xB007));
//!
//! // Without further responses from the platform its lease ends.
//! let later = now + Timing::default().lease;
//! assert_eq!(node.serving().check(later, key), Err(Refusal::LeaseEnded));
//! ```

mod acks;
mod action;
mod attempt;
mod backoff;
mod balance;
mod batch;
mod batcher;
mod change_request;
mod contention;
mod core;
mod delegation;
mod departure;
mod event;
mod grants;
mod hot_key_moves;
mod join_request;
mod joining;
mod kept_fences;
mod lease;
mod leaving;
mod membership;
mod message;
mod node;
mod phase;
mod platform_contact;
mod release;
mod release_request;
mod removal;
mod restore_wait;
mod rng;
mod rules;
mod serving;
mod takeover;
mod takeovers;
mod timing;
mod unowned_assignment;
mod wait_reason;
mod witness;
mod witness_change;
mod witness_replacement;

pub use action::Action;
pub use batcher::Batcher;
pub use change_request::ChangeRequest;
pub use departure::Departure;
pub use departure::apply_departures;
pub use event::Event;
pub use event::WriteOutcome;
pub use grants::GrantChanges;
pub use grants::Grants;
pub use grants::SliceGrant;
pub use join_request::JoinRequest;
pub use join_request::apply_joins;
pub use kept_fences::KeptFences;
pub use message::Message;
pub use node::Node;
pub use release_request::ReleaseRequest;
pub use release_request::apply_releases;
pub use removal::Removal;
pub use removal::apply_removals;
pub use restore_wait::RestoreWait;
#[doc(hidden)]
pub use rules::Rules;
pub use serving::Refusal;
pub use serving::Serving;
pub use timing::Timing;
pub use wait_reason::WaitReason;
pub use witness_change::WitnessChange;
pub use witness_change::apply_witness_changes;
