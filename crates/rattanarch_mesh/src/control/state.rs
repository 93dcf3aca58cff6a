//! This daemon's part in the ownership of its service.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;

use rattanarch_dissemination::FetchScheduler;
use rattanarch_dissemination::LinkPacer;
use rattanarch_dissemination::RecordFetchPolicy;
use rattanarch_ownership::Batcher;
use rattanarch_ownership::Node;
use rattanarch_ownership::Timing;
use rattanarch_placement::Spread;
use rattanarch_process::random;
use rattanarch_types::BootId;
use rattanarch_types::Fence;
use rattanarch_types::Moment;
use rattanarch_types::Record;
use rattanarch_types::SliceId;

use crate::control::gossip::Word;

/// This daemon's part in the ownership of its service.
#[derive(Debug)]
pub(crate) struct Control {
    /// `None` while no upstream is there to serve, and after it has left.
    pub(crate) node: Option<Node>,
    pub(crate) timing: Timing,
    /// Petitions that this daemon writes, its own or those of others.
    pub(crate) batcher: Batcher,
    /// When the process started.
    pub(crate) started: Moment,
    /// Slices that are to become quiet.
    pub(crate) draining: BTreeSet<SliceId>,
    /// What the upstream left of slices for their next owner.
    pub(crate) handovers: BTreeMap<SliceId, String>,
    /// Members that are to own nothing, as the node was last told.
    pub(crate) barred: BTreeSet<BootId>,
    /// Members that are known to be lost, as the node was last told.
    pub(crate) lost: BTreeSet<BootId>,
    /// Members of the own service whose processes are known to have ended.
    pub(crate) ended: BTreeSet<BootId>,
    /// Whether the node was told to leave.
    pub(crate) leaving: bool,
    /// The newest record that does not show this node, from which it may inherit.
    pub(crate) before: Option<Rc<Record>>,
    /// Fences under which the upstream held slices when its life was first heard of.
    pub(crate) kept: BTreeMap<SliceId, Fence>,
    /// Whether the lease was in force at the last look.
    pub(crate) leased: bool,
    /// When slices were last given away for their load.
    pub(crate) last_rebalance: Moment,
    /// When records that do not concern this daemon are fetched from a peer.
    pub(crate) interest: RecordFetchPolicy,
    /// Fetches of newer state.
    pub(crate) fetches: FetchScheduler<Word>,
    /// Answers to other daemons' fetches.
    pub(crate) outlet: LinkPacer,
    /// Version of the record that grants follow.
    pub(crate) followed: u64,
}

impl Control {
    /// No part yet, of a process that started at `started`.
    pub(crate) fn new(timing: Timing, started: Moment) -> Self {
        Self {
            node: None,
            timing,
            batcher: Batcher::new(random()).with_spread(Spread::ByLoad),
            started,
            draining: BTreeSet::new(),
            handovers: BTreeMap::new(),
            barred: BTreeSet::new(),
            lost: BTreeSet::new(),
            ended: BTreeSet::new(),
            leaving: false,
            before: None,
            kept: BTreeMap::new(),
            leased: false,
            last_rebalance: Moment::ZERO,
            interest: RecordFetchPolicy::default(),
            fetches: FetchScheduler::default(),
            outlet: LinkPacer::default(),
            followed: 0,
        }
    }

    /// Forgets what concerned an earlier life of the upstream.
    pub(crate) fn reset(&mut self) {
        self.node = None;
        self.draining.clear();
        self.handovers.clear();
        self.barred.clear();
        self.lost.clear();
        self.leaving = false;
        self.before = None;
        self.kept.clear();
        self.followed = 0;
    }
}
