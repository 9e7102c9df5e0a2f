//! Heartbeats to every entry.

mod entries;
mod round;

pub use entries::Entries;
pub use round::{last, run};
