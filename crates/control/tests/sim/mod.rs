//! Randomized simulation of owners, companions, task runtimes and a store, on simulated time.
//!
//! The state machines under test are the real ones; everything around them is a fake. Invariants
//! are checked against the tasks that the fake runtimes run and the contents of the fake store.

mod checker;
mod clock;
mod counts;
mod host;
mod owner;
mod run_parameters;
mod runtime;
mod simulation;
mod store;

pub use counts::FaultCounts;
pub use run_parameters::RunParameters;
pub use simulation::Simulation;
