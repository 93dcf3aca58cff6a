//! Order of what a store holds that may be restored from an older copy.

use derive_more::From;
use derive_more::Into;
use serde::Deserialize;
use serde::Serialize;

use crate::Version;

/// Number of a life of the store: increases each time the store is restored from an older copy. 0 for a store that
/// doesn't tell it.
pub type Era = u16;

/// Highest era that is accepted. Versions of it fit into 53 bits, which every JSON parser keeps.
pub const MAX_ERA: Era = (1 << 13) - 1;

/// Number of the lower bits of a version or position, which count within an era.
const COUNTER_BITS: u32 = 40;

/// Highest count within an era.
const MAX_COUNT: u64 = (1 << COUNTER_BITS) - 1;

/// A revision of the store in one of its eras. All positions of an era are above those of earlier eras, whatever the
/// revisions: after a restore, revisions are given out again.
///
/// Converts to and from the number that daemons send to each other.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, From, Into, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct StorePosition(u64);

impl StorePosition {
    /// The position before the first revision of the first era.
    pub const NONE: Self = Self(0);

    /// The position of `revision` in `era`.
    pub fn new(era: Era, revision: u64) -> Self {
        Self(u64::from(era) << COUNTER_BITS | revision.min(MAX_COUNT))
    }

    /// The era of the revision; `None` if it is above [`MAX_ERA`].
    pub fn era(self) -> Option<Era> {
        checked_era(self.0)
    }

    /// The revision as the store counts it.
    pub fn revision(self) -> u64 {
        self.0 & MAX_COUNT
    }
}

/// The era in which `version` was written; `None` if it is above [`MAX_ERA`].
///
/// The upper bits of a version hold its era, so that versions compare in the order in which they were written, and
/// fencing tokens, which are versions, rise over restores.
pub fn era_of(version: Version) -> Option<Era> {
    checked_era(version)
}

/// The version before the first one of `era`.
pub fn version_before(era: Era) -> Version {
    u64::from(era) << COUNTER_BITS
}

/// The version that follows `version` when the record is written to the store in `era`, if `version` is of an earlier
/// one.
pub fn restored_version(version: Version, era: Era) -> Version {
    version_before(era) | ((version & MAX_COUNT) + 1).min(MAX_COUNT)
}

fn checked_era(number: u64) -> Option<Era> {
    Era::try_from(number >> COUNTER_BITS).ok().filter(|era| *era <= MAX_ERA)
}
