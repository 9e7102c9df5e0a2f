//! Messages between the processes of the system, and their transport over HTTP/2.
//!
//! A [`Frame`] is one message, encoded with bincode after a length prefix of four bytes. A
//! [`Stream`] is an HTTP/2 stream of frames. [`Client`] opens streams, [`Pool`] keeps one client
//! for each address, and [`Server`] accepts streams.

pub mod client;
pub mod clock;
pub mod codec;
mod connections;
pub mod delta;
pub mod end;
pub mod failure;
pub mod frame;
pub mod graph;
pub mod headers;
pub mod heartbeat;
pub mod peer;
pub mod peer_limits;
pub mod pool;
pub mod receiver;
pub mod refusal_log;
pub mod request;
pub mod response;
mod room;
pub mod section;
pub mod sender;
pub mod server;
pub mod stream;
pub mod tombstone;

pub use client::Client;
pub use clock::Clock;
pub use end::End;
pub use failure::Failure;
pub use frame::Frame;
pub use peer_limits::PeerLimits;
pub use pool::Pool;
pub use receiver::Receiver;
pub use refusal_log::RefusalLog;
pub use sender::Sender;
pub use server::Server;
pub use stream::Stream;
pub use tombstone::Tombstone;
