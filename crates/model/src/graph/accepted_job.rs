//! Record of an accepted job.

use serde::{Deserialize, Serialize};

use super::{Job, Queue};

/// What is durable before a client learns that its job was accepted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AcceptedJob {
    /// The queue's name.
    pub queue: String,
    /// How the queue was run when the job was accepted.
    pub policy: Queue,
    /// When the job was accepted, in milliseconds since 1970.
    pub unix_ms: u64,
    /// The job.
    pub job: Job,
}
