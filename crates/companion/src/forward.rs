//! Forwards requests from entries to the upstream. Each request is one stream of frames.

mod relay;
mod request_body;
mod response_recorder;
mod response_sender;
mod serve;

pub use serve::serve;
