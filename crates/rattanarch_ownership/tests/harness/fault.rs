//! Faults of a schedule.

use quickcheck::Arbitrary;
use quickcheck::Gen;

/// One fault, for `millis` from its time in the schedule. Slots count modulo the world's.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// Nothing.
    Calm,
    /// The slot's process is stopped and goes on later, its inputs queued.
    Pause { slot: u8, millis: u16 },
    /// The slot's process ends at once; a new one starts later, with empty memory.
    Kill { slot: u8, millis: u16 },
    /// A new process starts while the old one is paused, which wakes later.
    Zombie { slot: u8, millis: u16 },
    /// The process stops as planned; a new one starts once it has left.
    Stop { slot: u8 },
    /// Messages between two slots are lost, in one direction or both.
    Cut { from: u8, to: u8, both: bool, millis: u16 },
    /// All messages of a slot to others are lost, and those to it.
    Isolate { slot: u8, millis: u16 },
    /// The slot does not reach the platform.
    Unplug { slot: u8, millis: u16 },
    /// The platform takes the slot's next write and answers the slot nothing from then on.
    Mute { slot: u8, millis: u16 },
    /// The platform answers nobody.
    Outage { millis: u16 },
    /// Many messages are lost, repeated or late, and so are answers of the platform.
    Noise { millis: u16 },
    /// Operators take a member out, or in again.
    Bar { slot: u8, out: bool },
    /// The slot's upstream restarts and forgets its fences, so that a new process first takes a low
    /// one. Older processes that it refused are still refused: see the limits in the page.
    Forget { slot: u8 },
    /// Operators declare dead processes lost.
    Declare,
    /// The slot measures so many requests a second, and those of one key besides.
    Load { slot: u8, key: u8, base: u16, heat: u16 },
}

impl Arbitrary for Fault {
    fn arbitrary(g: &mut Gen) -> Self {
        let slot = u8::arbitrary(g);
        let to = u8::arbitrary(g);
        let millis = u16::arbitrary(g) % 4_000;
        match u8::arbitrary(g) % 16 {
            0..3 => Self::Pause { slot, millis },
            3 | 4 => Self::Kill { slot, millis },
            5 => Self::Zombie { slot, millis },
            6 => Self::Stop { slot },
            7 => Self::Cut { from: slot, to, both: bool::arbitrary(g), millis },
            8 => Self::Isolate { slot, millis },
            9 if to < 128 => Self::Unplug { slot, millis },
            9 => Self::Mute { slot, millis },
            10 => Self::Outage { millis },
            11 | 12 => Self::Noise { millis },
            13 => Self::Bar { slot, out: bool::arbitrary(g) },
            14 if to < 128 => Self::Declare,
            14 => Self::Forget { slot },
            _ => Self::Load { slot, key: to, base: millis / 4, heat: millis / 2 },
        }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        match self {
            Self::Calm => Box::new(std::iter::empty()),
            _ => Box::new(std::iter::once(Self::Calm)),
        }
    }
}
