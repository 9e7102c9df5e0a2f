//! Replies from the owner.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use toucanquay_model::graph::State;

use super::Outcome;

/// Reply to a [`Query`](super::Query).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// State of the job; `None` if the owner does not know the job.
    State(Option<State>),
    /// Number of jobs that have not started.
    Pending(u64),
    /// The notification was received.
    Noted,
    /// Outcome of the change.
    Changed(Outcome),
    /// Whether the entry is ready to become the owner.
    Ready(bool),
    /// Configuration of the entry.
    Configuration {
        /// Time, in microseconds, for which a newer configuration may have been in the store.
        age_micros: u64,
        /// Encoded configuration; `None` if the sender of the query has it or a newer one.
        value: Option<Bytes>,
    },
}
