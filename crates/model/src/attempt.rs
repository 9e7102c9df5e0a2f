//! Identifier of an attempt to run a task.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::Epoch;

/// Identifies one attempt to run a task: the granting owner's epoch and a number that increases
/// with each attempt within that epoch.
///
/// Attempts are ordered, so that a worker can reject a grant older than one it has already seen.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Attempt {
    /// Epoch of the cell owner that granted the attempt.
    pub epoch: Epoch,
    /// Number of the attempt. A new owner continues from the last attempt of the task that it knows
    /// of.
    pub number: u32,
}

impl Attempt {
    /// Creates the attempt with this `epoch` and `number`.
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
