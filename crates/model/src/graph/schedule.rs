//! Schedule of a job.

use serde::{Deserialize, Serialize};

/// Occurrences of a job at regular intervals.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Schedule {
    /// Number of occurrences.
    pub occurrences: u32,
    /// Time of the first occurrence, in milliseconds since the Unix epoch.
    pub first_unix_ms: u64,
    /// Interval between occurrences, in milliseconds.
    pub interval_ms: u64,
}

impl Schedule {
    /// Returns the time of an occurrence, in milliseconds since the Unix epoch.
    #[must_use]
    pub const fn due_unix_ms(&self, occurrence: u32) -> u64 {
        self.first_unix_ms
            .saturating_add(self.interval_ms.saturating_mul(occurrence as u64))
    }
}
