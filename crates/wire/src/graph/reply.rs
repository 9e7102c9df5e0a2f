//! Replies from the owner.

use serde::{Deserialize, Serialize};
use toucanquay_model::graph::State;

/// Reply to a [`Query`](super::Query).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// State of the job; `None` if the owner does not know the job.
    State(Option<State>),
    /// Number of jobs that have not started.
    Pending(u64),
    /// The notification was received.
    Noted,
    /// The key exists.
    Created,
    /// Whether the entry is ready to become the owner.
    Ready(bool),
}
