//! Forwarding of latency-critical requests from a client through a companion to an upstream.

mod attempt;
mod client_request;
mod forwarder;
pub mod headers;
mod outcome;
mod target;
mod upstream_response;

pub use attempt::{attempt, tombstone};
pub use client_request::ClientRequest;
pub use forwarder::{Forwarder, classify_refusal, report_protocol_violation};
pub use outcome::Outcome;
pub use target::Target;
pub use upstream_response::UpstreamResponse;
