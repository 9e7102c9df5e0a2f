//! Requests from entries: each is one stream of frames.

mod intake;
mod outlet;
mod record;
mod relay;
mod serve;

pub use serve::serve;
