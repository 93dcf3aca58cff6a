//! Pure placement: which member owns which slice, and who witnesses whom.
//!
//! Every function is a deterministic decision on a [`Record`](rattanarch_types::Record): members
//! that hold the same version make the same decisions, without exchanging messages.
//!
//! - [`choose_witnesses`] picks the members that acknowledge a member's lease: spread over data centres, with
//!   evenly distributed duty, keeping current witnesses where possible.
//! - [`assign_unowned`] gives slices without an owner to the members that are furthest below their target.
//! - [`plan_moves`] lists the moves that bring every member to its target, in the order in which members
//!   make them.
//! - [`Spread`] says whether slices are spread by count or by load; with the latter, [`plan_slice_moves`]
//!   chooses the slices that a busy member gives away, from the loads of members and its own [`LoadHistory`].
//! - [`HotKeys`] finds the hottest keys of a member, and [`plan_key_moves`] chooses those that an
//!   overloaded member gives away.
//!
//! ```
//! use std::collections::BTreeSet;
//! use rattanarch_placement::{choose_witnesses, assign_unowned, plan_moves};
//! use rattanarch_types::{Member, Record};
//!
//! let member = |name: &str| Member {
//!     instance: name.to_owned(),
//!     data_centre: name.to_owned(),
//!     peer: ([127, 0, 0, 1], 7000).into(),
//!     caller: ([127, 0, 0, 1], 7001).into(),
//!     slots: 20,
//!     fence: 0,
//!     term: 1,
//!     witnesses: Vec::new(),
//!     leaving: false,
//!     releases: 0,
//!     link_megabits_per_s: 0,
//! };
//! let none_excluded = BTreeSet::new();
//! let mut record = Record::new("trade-desk", 12);
//! record.members.insert(1, member("hafenhalle"));
//! assign_unowned(&mut record, &none_excluded);
//! assert_eq!(record.slices_of(1).count(), 12);
//!
//! // A second member joins: the first one becomes its witness and should give it half of the slices.
//! record.members.insert(2, member("nordkuehl"));
//! assert_eq!(choose_witnesses(&record, 2, &none_excluded), [1]);
//! let moves = plan_moves(&record, &none_excluded);
//! assert_eq!(moves.len(), 6);
//! assert!(moves.iter().all(|change| change.from == 1 && change.to == 2));
//! ```

mod balance;
mod hot_keys;
mod key_moves;
mod load_history;
mod member_load;
mod move_gap;
mod rendezvous;
mod slice_moves;
mod slice_relief;
mod spread;
mod witness;

pub use balance::Move;
pub use balance::assign_unowned;
pub use balance::plan_moves;
pub use balance::target_counts;
pub use hot_keys::HotKeys;
pub use key_moves::MAX_HOT_KEYS;
pub use key_moves::MAX_KEY_MOVES;
pub use key_moves::plan_key_moves;
pub use load_history::LastingLoad;
pub use load_history::LoadHistory;
pub use member_load::MemberLoad;
pub use move_gap::expected_gap;
pub use rendezvous::rendezvous_weight;
pub use slice_moves::MovePlan;
pub use slice_moves::SliceLoad;
pub use slice_moves::plan_slice_moves;
pub use slice_relief::plan_slice_relief;
pub use spread::Spread;
pub use witness::MAX_WITNESSES;
pub use witness::choose_live_witnesses;
pub use witness::choose_witnesses;
