//! Membership: upstreams by their heartbeats, entries by the store and by each other.

mod exchange;
mod heartbeat;
mod peer;

pub use exchange::{fetch_sections, poll, receive_status, run};
pub use heartbeat::{expire, receive_heartbeat};
pub use peer::Peer;
