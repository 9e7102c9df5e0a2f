//! Membership: upstreams by their heartbeats, entries by the store and by each other.

mod hear;
mod peer;

pub use hear::{expire, hear};
pub use peer::Peer;
