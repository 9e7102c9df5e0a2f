//! Heartbeats from companions to entries.

mod message;
mod reply;

pub use message::Heartbeat;
pub use reply::{Owner, Reply};
