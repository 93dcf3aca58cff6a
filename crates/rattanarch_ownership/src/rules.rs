//! Safety rules that tests remove one at a time.

/// The rules of the protocol, each in force. Only tests put one out of force, to show that a check
/// finds the harm.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Rules {
    /// A lease is counted from the send of its request, not from the acknowledgement's receipt.
    pub count_from_send: bool,
    /// A lease needs the acknowledgements of a majority of the witnesses, not of any.
    pub count_majority: bool,
    /// A newer process succeeds an older one's member only once the upstream refuses that one.
    pub fence_first: bool,
    /// A gatherer puts a node into the place of that older life alone of whose end the node has made sure.
    pub match_previous_boot: bool,
    /// A gatherer hands over slices at the giver's present number alone, so that a late copy of a wish does nothing.
    pub numbered_releases: bool,
    /// A gatherer takes a member out, or gives it other witnesses, only under the term for which that was asked.
    pub match_terms: bool,
    /// A sealer waits until the last acknowledgements have lapsed.
    pub wait_out_seal: bool,
    /// A witness that has promised a seal acknowledges the term no more.
    pub keep_promises: bool,
    /// A restarted or rejoining process draws a new boot id.
    pub new_boot_ids: bool,
    /// While a change of witnesses is not settled, both sets must acknowledge.
    pub joint_sets: bool,
    /// A new term is written only once its acknowledgements last as long as those of the old term,
    /// under which the upstream may hold a grant.
    pub cover_grants: bool,
    /// A node applies a record only if its version is higher.
    pub rising_versions: bool,
    /// Released slices stay held until the update is settled.
    pub hold_until_settled: bool,
    /// An update whose answer was lost may still take effect.
    pub settle_lost_answers: bool,
    /// A witness acknowledges leases only while its own is in force, or the platform has lately shown
    /// it as a member: what a witness that was taken out has acknowledged before then lapses.
    pub witness_standing: bool,
    /// A member without witnesses serves only for a lease after a platform answer.
    pub confirm_unwitnessed: bool,
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
            keep_promises: true,
            new_boot_ids: true,
            joint_sets: true,
            cover_grants: true,
            rising_versions: true,
            hold_until_settled: true,
            settle_lost_answers: true,
            witness_standing: true,
            confirm_unwitnessed: true,
        }
    }
}
