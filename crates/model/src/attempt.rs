//! Attempts at a task.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::Epoch;

/// One try at running a task: the granting owner's epoch, then a number that grows in that epoch.
///
/// Attempts are ordered, so a worker can refuse a grant older than one that it has already seen.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Attempt {
    /// Epoch of the cell owner that granted the attempt.
    pub epoch: Epoch,
    /// Number of the attempt, counted over the life of the task.
    pub number: u32,
}

impl Attempt {
    /// Returns the attempt `number` of `epoch`.
    #[must_use]
    pub const fn new(epoch: Epoch, number: u32) -> Self {
        Self { epoch, number }
    }
}

impl fmt::Display for Attempt {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.epoch, self.number)
    }
}
