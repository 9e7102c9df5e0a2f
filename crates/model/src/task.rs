//! Identifier of a batch task.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::job;

/// Identifies a task by its job and its index within the job.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id {
    /// Name of the job, chosen by the client.
    pub job: job::Id,
    /// Zero-based index of the task within the job.
    pub index: u32,
}

impl Id {
    /// Creates the id of task `index` of `job`.
    #[must_use]
    pub const fn new(job: job::Id, index: u32) -> Self {
        Self { job, index }
    }
}

impl fmt::Display for Id {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.job, self.index)
    }
}
