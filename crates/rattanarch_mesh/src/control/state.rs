//! State of the ownership protocol in this daemon.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use rattanarch_dissemination::FetchScheduler;
use rattanarch_dissemination::LinkPacer;
use rattanarch_dissemination::RecordFetchPolicy;
use rattanarch_ownership::Batcher;
use rattanarch_ownership::KeptFences;
use rattanarch_ownership::Node;
use rattanarch_ownership::RestoreWait;
use rattanarch_ownership::Timing;
use rattanarch_placement::Spread;
use rattanarch_process::random;
use rattanarch_types::BootId;
use rattanarch_types::Moment;
use rattanarch_types::SliceId;

use crate::control::gossip::Announcement;

/// State of the ownership protocol in this daemon, and of its exchange with peers.
#[derive(Debug)]
pub(crate) struct Control {
    /// `None` while there is no upstream to serve, and after the node has left.
    pub(crate) node: Option<Node>,
    pub(crate) timing: Timing,
    /// Change requests that this daemon writes, its own and those of others.
    pub(crate) batcher: Batcher,
    /// When the process started.
    pub(crate) started: Moment,
    /// Slices that are drained before their release.
    pub(crate) draining: BTreeSet<SliceId>,
    /// Data that the upstream hands over to the next owner, by slice.
    pub(crate) handovers: BTreeMap<SliceId, String>,
    /// Members excluded from owning slices, as last passed to the node.
    pub(crate) excluded: BTreeSet<BootId>,
    /// Lost members, as last passed to the node.
    pub(crate) lost: BTreeSet<BootId>,
    /// Members of this daemon's service whose processes are known to have ended.
    pub(crate) ended: BTreeSet<BootId>,
    /// Whether the node was told to leave.
    pub(crate) leaving: bool,
    /// Fences under which the upstream held slices when this process started.
    pub(crate) kept_fences: KeptFences,
    /// Whether the lease was held at the last check.
    pub(crate) leased: bool,
    /// When slices were last moved because of load.
    pub(crate) last_rebalance: Moment,
    /// Decides when to fetch records whose changes do not affect this daemon.
    pub(crate) fetch_policy: RecordFetchPolicy,
    /// Fetches of newer state from peers.
    pub(crate) fetches: FetchScheduler<Announcement>,
    /// Limits the responses to peers' fetches to the rate of this machine's link.
    pub(crate) link_pacer: LinkPacer,
    /// Version of the record that was last applied to the grants.
    pub(crate) granted_version: u64,
    /// Wait for holds that the store has forgotten.
    pub(crate) restore_wait: RestoreWait,
}

impl Control {
    /// State without a node, in a process that started at `started`.
    pub(crate) fn new(timing: Timing, started: Moment) -> Self {
        Self {
            node: None,
            timing,
            batcher: Batcher::new(random()).with_spread(Spread::ByLoad),
            started,
            draining: BTreeSet::new(),
            handovers: BTreeMap::new(),
            excluded: BTreeSet::new(),
            lost: BTreeSet::new(),
            ended: BTreeSet::new(),
            leaving: false,
            kept_fences: KeptFences::default(),
            leased: false,
            last_rebalance: Moment::ZERO,
            fetch_policy: RecordFetchPolicy::default(),
            fetches: FetchScheduler::default(),
            link_pacer: LinkPacer::default(),
            granted_version: 0,
            restore_wait: RestoreWait::default(),
        }
    }

    /// Drops the state that belongs to an earlier run of the upstream.
    pub(crate) fn reset(&mut self) {
        self.node = None;
        self.draining.clear();
        self.handovers.clear();
        self.excluded.clear();
        self.lost.clear();
        self.leaving = false;
        self.kept_fences = KeptFences::default();
        self.granted_version = 0;
    }
}
