//! Tasks of batch jobs.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::job;

/// Identifies a task: its job and its index there.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id {
    /// The job.
    pub job: job::Id,
    /// Index of the task in the job, from zero.
    pub index: u32,
}

impl Id {
    /// Returns the id of task `index` of `job`.
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
