//! Permission to run one request of an account.

use rattanarch_types::Moment;

/// Permission to run one request of an account.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QuotaToken {
    /// When it expires if it is not used; zero if it can't be given back.
    pub(crate) expires: Moment,
}

impl QuotaToken {
    /// A token of a static share.
    pub(crate) const STATIC: Self = Self { expires: Moment::ZERO };

    /// Whether it comes from the static share of the daemon, for lack of a coordinator.
    pub fn is_static(&self) -> bool {
        *self == Self::STATIC
    }

    pub(crate) fn is_valid(&self, now: Moment) -> bool {
        now < self.expires
    }
}
