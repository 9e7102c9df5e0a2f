//! Requests from entries: each is one stream of frames.

mod relay;
mod request_body;
mod response_recorder;
mod response_sender;
mod serve;

pub use serve::serve;
