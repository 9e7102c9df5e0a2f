//! A randomised world of owners, companions, task runtimes and a store, on simulated time.
//!
//! The state machines are the real ones; everything around them is a small fake. Ground truth is
//! what the fake runtimes run and what the fake store holds.

mod clock;
mod counts;
mod host;
mod owner;
mod runtime;
mod store;
mod truth;
mod world;

pub use counts::Counts;
pub use world::{Plan, World};
