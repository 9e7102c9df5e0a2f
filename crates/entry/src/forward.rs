//! Latency-critical requests: from a client through a companion to an upstream and back.

mod answer;
mod attempt;
mod call;
pub mod headers;
mod outcome;
mod relay;
mod target;

pub use answer::Answer;
pub use attempt::{attempt, tombstone};
pub use call::Call;
pub use outcome::Outcome;
pub use relay::{Relay, after_refusal, check_protocol};
pub use target::Target;
