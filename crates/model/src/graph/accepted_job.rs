//! Stored record of an accepted job.

use serde::{Deserialize, Serialize};

use super::{Job, Queue};

/// Record of an accepted job, written durably before the client is told of the acceptance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AcceptedJob {
    /// Name of the queue.
    pub queue: String,
    /// Settings of the queue at the time of acceptance.
    pub policy: Queue,
    /// Time of acceptance, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
    /// Job as submitted. Its identifier is in the key of the record.
    pub job: Job,
}
