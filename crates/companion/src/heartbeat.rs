//! Sends heartbeats to all known entries.

mod sender;
mod targets;

pub use sender::{send_final, start};
pub use targets::HeartbeatTargets;
