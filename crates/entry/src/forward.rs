//! Latency-critical requests: from a client through a companion to an upstream and back.

mod answer;
mod attempt;
mod call;
mod headers;
mod outcome;
mod target;

pub use answer::Answer;
pub use attempt::{attempt, tombstone};
pub use call::Call;
pub use outcome::Outcome;
pub use target::Target;
