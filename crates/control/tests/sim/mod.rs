//! A randomised world of owners, companions, task runtimes and a store, on simulated time.
//!
//! The state machines are the real ones; everything around them is a small fake. Ground truth is
//! what the fake runtimes run and what the fake store holds.

mod checker;
mod clock;
mod counts;
mod host;
mod owner;
mod runtime;
mod simulation;
mod store;

pub use counts::FaultCounts;
pub use simulation::{RunParameters, Simulation};
