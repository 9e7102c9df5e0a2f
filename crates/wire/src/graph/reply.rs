//! What the owner answers.

use serde::{Deserialize, Serialize};
use toucanquay_model::graph::State;

/// Answer to a [`Query`](super::Query).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// State of the job; `None` if the owner doesn't know it.
    State(Option<State>),
    /// Number of jobs that have not begun.
    Pending(u64),
    /// The notice was taken.
    Noted,
    /// The key exists.
    Created,
}
