//! Faults that a schedule injects.

use quickcheck::Arbitrary;
use quickcheck::Gen;

/// One fault, which lasts `millis` from its time in the schedule. Slots are taken modulo the number of slots.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// No fault.
    Nothing,
    /// The slot's process is suspended and resumes later; its inputs are queued.
    Pause { slot: u8, millis: u16 },
    /// The slot's process is killed; a new one starts later without any state.
    Kill { slot: u8, millis: u16 },
    /// A new process starts while the old one is paused; the old one resumes later.
    Zombie { slot: u8, millis: u16 },
    /// The process performs a planned stop; a new one starts once it has left.
    Stop { slot: u8 },
    /// Messages between two slots are lost, in one direction or both.
    Partition { from: u8, to: u8, both: bool, millis: u16 },
    /// All messages from and to the slot are lost.
    Isolate { slot: u8, millis: u16 },
    /// The slot cannot reach the platform.
    NoPlatform { slot: u8, millis: u16 },
    /// The platform receives the slot's next write, but none of its answers reach the slot from then on.
    DropAnswers { slot: u8, millis: u16 },
    /// The platform answers no process.
    Outage { millis: u16 },
    /// Many messages are lost, repeated or delayed, and so are answers of the platform.
    Noise { millis: u16 },
    /// Operators bar a member, or admit it again.
    Bar { slot: u8, out: bool },
    /// The slot's upstream restarts and loses its fences, so that a new process first gets a low one.
    /// Older processes that it refused are still refused: see the documented limits.
    ForgetFences { slot: u8 },
    /// Operators declare dead processes lost.
    DeclareLost,
    /// The slot measures `base_load` requests a second, and `key_load` more for one key.
    Load { slot: u8, key: u8, base_load: u16, key_load: u16 },
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
            7 => Self::Partition { from: slot, to, both: bool::arbitrary(g), millis },
            8 => Self::Isolate { slot, millis },
            9 if to < 128 => Self::NoPlatform { slot, millis },
            9 => Self::DropAnswers { slot, millis },
            10 => Self::Outage { millis },
            11 | 12 => Self::Noise { millis },
            13 => Self::Bar { slot, out: bool::arbitrary(g) },
            14 if to < 128 => Self::DeclareLost,
            14 => Self::ForgetFences { slot },
            _ => Self::Load { slot, key: to, base_load: millis / 4, key_load: millis / 2 },
        }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        match self {
            Self::Nothing => Box::new(std::iter::empty()),
            _ => Box::new(std::iter::once(Self::Nothing)),
        }
    }
}
