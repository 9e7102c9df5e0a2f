//! Updates of a session by difference.
//!
//! An agent's update lists everything that runs on its worker, but most updates follow the start or
//! the end of one task. The first update of a session is sent whole. Each later one is sent as a
//! [`Delta`] to the one before, and the owner restores it with a [`Decoder`]. A session's messages
//! arrive complete and in order, so neither side acknowledges them.

mod change;
mod decoder;
mod encoder;
mod message;

pub use change::Change;
pub use decoder::Decoder;
pub use encoder::Encoder;
pub use message::Delta;
