//! Safety rules that tests switch off one at a time.

/// Rules of the protocol, all in force by default. Only tests switch one off, to show that their checks detect the
/// violation that follows.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Rules {
    /// A lease counts from the sending of its request, not from the receipt of the acknowledgement.
    pub count_from_send: bool,
    /// A lease needs acknowledgements of a majority of the witnesses, not of any one.
    pub count_majority: bool,
    /// A newer process replaces the member of an older one only once the upstream refuses the older one's requests.
    pub fence_first: bool,
    /// A batcher lets a node replace only the previous boot whose end the node has made sure of.
    pub match_previous_boot: bool,
    /// A batcher applies a release request only at the owner's current release number, so that late copies
    /// have no effect.
    pub numbered_releases: bool,
    /// A batcher removes a member, or changes its witnesses, only under the term that the request names.
    pub match_terms: bool,
    /// A takeover waits until the last acknowledgements of the witnesses that promised have expired.
    pub wait_out_seal: bool,
    /// A takeover of a member that has replaced a previous boot of its instance also waits until the grants of that boot
    /// have expired, which the upstream still holds.
    pub wait_out_predecessor: bool,
    /// A witness that has promised a seal no longer acknowledges the term.
    pub keep_promises: bool,
    /// A process that restarts or rejoins takes a new boot id.
    pub new_boot_ids: bool,
    /// Until the outcome of a change of witnesses is known, majorities of both sets must acknowledge.
    pub joint_sets: bool,
    /// A new term is written only once its acknowledgements last as long as those of the old term, under which the
    /// upstream may hold a grant.
    pub cover_grants: bool,
    /// A node applies a record only if its version is higher.
    pub rising_versions: bool,
    /// Released slices are not served again until the outcome of the update is known.
    pub hold_until_settled: bool,
    /// An update without a response may still take effect.
    pub settle_lost_answers: bool,
    /// A witness acknowledges leases only while its own lease is in force or the platform has recently confirmed it as a
    /// member, so that what a removed witness has acknowledged lapses in bounded time.
    pub witness_standing: bool,
    /// A member without witnesses serves only for a lease duration after a platform response that confirms it.
    pub confirm_unwitnessed: bool,
    /// A slice is granted under another fencing token once the record's has changed, whichever versions were skipped.
    pub follow_fences: bool,
    /// A newer process keeps a fencing token only if the record before it joined was the direct predecessor.
    pub match_predecessor: bool,
    /// A newer process keeps no fencing token that is below the record's.
    pub match_fences: bool,
}

impl Default for Rules {
    fn default() -> Self {
        Self {
            count_from_send: true,
            count_majority: true,
            fence_first: true,
            match_previous_boot: true,
            numbered_releases: true,
            match_terms: true,
            wait_out_seal: true,
            wait_out_predecessor: true,
            keep_promises: true,
            new_boot_ids: true,
            joint_sets: true,
            cover_grants: true,
            rising_versions: true,
            hold_until_settled: true,
            settle_lost_answers: true,
            witness_standing: true,
            confirm_unwitnessed: true,
            follow_fences: true,
            match_predecessor: true,
            match_fences: true,
        }
    }
}
