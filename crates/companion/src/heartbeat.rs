//! Heartbeats to every entry.

mod sender;
mod targets;

pub use sender::{send_final, start};
pub use targets::HeartbeatTargets;
