//! A member of the service.

use rattanarch_types::BootId;
use rattanarch_types::Moment;
use rattanarch_types::Version;

use crate::core::Core;
use crate::lease::Lease;
use crate::lease::acknowledge;
use crate::lease::request;

/// What a member has besides its core.
#[derive(Debug, Default)]
pub(crate) struct Membership {
    pub(crate) lease: Lease,
}

impl Membership {
    /// Does what is due.
    pub(crate) fn advance(&mut self, core: &mut Core, now: Moment) {
        self.lease.follow(core, None);
        if self.lease.is_due(core, now) {
            self.renew(core, now);
        }
    }

    fn renew(&mut self, core: &mut Core, now: Moment) {
        request(core, now, &self.lease.acks);
        if self.lease.acks.witnesses.is_empty() {
            core.read(now);
        }
    }

    /// Takes an acknowledgement.
    pub(crate) fn acknowledge(
        &mut self,
        core: &Core,
        now: Moment,
        from: BootId,
        term: Version,
        sent: Moment,
    ) {
        acknowledge(core, now, &mut self.lease.acks, from, term, sent);
    }

    /// End of the time in which the member may serve.
    pub(crate) fn until(&self, core: &Core) -> Option<Moment> {
        self.lease.until(core)
    }
}
