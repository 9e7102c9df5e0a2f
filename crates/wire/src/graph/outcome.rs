//! Outcomes of changes of the stored jobs.

use serde::{Deserialize, Serialize};

/// Outcome of a [`Change`](super::Change), which is durable.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The job is stored.
    Accepted,
    /// The job is stored, and so is its cancellation.
    Cancelled,
    /// No job is stored under the identifier, and no earlier submission can store one any more.
    Withdrawn,
}
