//! Membership of upstreams, from their heartbeats, and of entries, from the store and each other.

mod heartbeat;
mod peer;
mod peers;

pub use heartbeat::{expire_upstreams, receive_heartbeat};
pub use peer::Peer;
pub use peers::{fetch_sections, poll_peer, poll_peers, receive_status};
