//! Choice of the connection to close when a listener has no room.

use rattanarch_types::Moment;

/// The connection that has been idle longest; `None` if a request is under way on each. `connections` are pairs of a
/// connection and the time since which it is idle, if it is.
///
/// Designed for more clients than a listener has room for, most of which do nothing: those that send requests stay.
///
/// ```
/// use std::time::Duration;
/// use rattanarch_admission::longest_idle;
///
/// let at = Duration::from_secs;
/// assert_eq!(longest_idle([("a", Some(at(7))), ("b", None), ("c", Some(at(5)))]), Some("c"));
/// assert_eq!(longest_idle([("b", None)]), None);
/// ```
pub fn longest_idle<K>(connections: impl IntoIterator<Item = (K, Option<Moment>)>) -> Option<K> {
    let idle = connections.into_iter().filter_map(|(key, since)| Some((since?, key)));
    idle.min_by_key(|(since, _)| *since).map(|(_, key)| key)
}
