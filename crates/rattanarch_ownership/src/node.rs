//! The part of one daemon that takes part in the ownership of one service.

use rattanarch_types::BootId;
use rattanarch_types::Member;
use rattanarch_types::Moment;

use crate::Action;
use crate::Event;
use crate::Serving;
use crate::Timing;

/// One member's state machine.
#[derive(Debug)]
pub struct Node {
    me: BootId,
    serving: Serving,
}

impl Node {
    /// A node that will join as `member` under the boot id `me`; `seed` feeds its jitter and its
    /// write ids.
    pub fn new(me: BootId, member: Member, timing: Timing, seed: u64) -> Self {
        let _ = (member, timing, seed);
        Self { me, serving: Serving::default() }
    }

    /// Boot id of this member.
    pub fn me(&self) -> BootId {
        self.me
    }

    /// Takes one event at `now` and returns what is to be done, in order.
    pub fn step(&mut self, now: Moment, event: Event) -> Vec<Action> {
        let _ = (now, event);
        Vec::new()
    }

    /// What the request path may do now.
    pub fn serving(&self) -> &Serving {
        &self.serving
    }
}
