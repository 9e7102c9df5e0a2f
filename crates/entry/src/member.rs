//! Membership: upstreams by their heartbeats, entries by the store and by each other.

mod hear;
mod meet;
mod peer;

pub use hear::{expire, hear};
pub use meet::{call, meet, take_over, visit};
pub use peer::Peer;
