//! Deterministic simulation of many nodes, their network and the platform, driven by one seed.
//!
//! Simulated true time is in microseconds; every process has a local clock that drifts within the
//! bound. The invariants in `check` are verified after every event.
#![allow(dead_code, reason = "each test file uses a part")]

mod batching;
mod check;
mod fault;
mod fault_injection;
mod machine;
mod machine_fault;
#[path = "../members/mod.rs"]
mod members;
mod network;
mod platform;
mod process;
mod simulation;
mod slots;
mod upstream;

pub use fault::Fault;
pub use machine::Counts;
#[allow(unused_imports, reason = "each test file uses a part")]
pub use machine_fault::MachineFault;
pub use process::Process;
pub use simulation::Simulation;
pub use simulation::SimulationSettings;
