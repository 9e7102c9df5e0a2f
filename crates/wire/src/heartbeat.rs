//! Heartbeats from companions to entries.

mod beat;
mod reply;

pub use beat::Beat;
pub use reply::{Owner, Reply};
