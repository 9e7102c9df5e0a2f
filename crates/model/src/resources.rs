//! Amounts of processors, memory and accelerators.

use std::fmt;

use serde::{Deserialize, Serialize};

/// An amount of each kind of resource, such as a worker's capacity or a task's demand.
///
/// # Examples
///
/// ```
/// use toucanquay_model::Resources;
///
/// let worker = Resources { processors_milli: 32_000, memory_mb: 125_000, accelerators: 0 };
/// let task = Resources { processors_milli: 4_000, memory_mb: 8_000, accelerators: 0 };
/// assert!(task.fits(&worker));
/// assert_eq!(worker.checked_sub(&task).unwrap().processors_milli, 28_000);
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Resources {
    /// Processors, in thousandths.
    #[serde(default)]
    pub processors_milli: u32,
    /// Memory, in megabytes.
    #[serde(default)]
    pub memory_mb: u32,
    /// Number of accelerators.
    #[serde(default)]
    pub accelerators: u32,
}

impl Resources {
    /// No resources.
    pub const ZERO: Self = Self {
        processors_milli: 0,
        memory_mb: 0,
        accelerators: 0,
    };

    /// Returns whether each amount is at most that of `available`.
    #[must_use]
    pub const fn fits(&self, available: &Self) -> bool {
        self.processors_milli <= available.processors_milli
            && self.memory_mb <= available.memory_mb
            && self.accelerators <= available.accelerators
    }

    /// Returns the sum, saturating at `u32::MAX`.
    #[must_use]
    pub const fn plus(&self, other: &Self) -> Self {
        Self {
            processors_milli: self.processors_milli.saturating_add(other.processors_milli),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Subtracts `other`, or returns `None` if any amount would become negative.
    #[must_use]
    pub const fn checked_sub(&self, other: &Self) -> Option<Self> {
        if !other.fits(self) {
            return None;
        }
        Some(Self {
            processors_milli: self.processors_milli - other.processors_milli,
            memory_mb: self.memory_mb - other.memory_mb,
            accelerators: self.accelerators - other.accelerators,
        })
    }

    /// Subtracts `other`, saturating each amount at zero.
    #[must_use]
    pub const fn saturating_sub(&self, other: &Self) -> Self {
        Self {
            processors_milli: self.processors_milli.saturating_sub(other.processors_milli),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Returns the maximum of each amount.
    #[must_use]
    pub fn max(&self, other: &Self) -> Self {
        Self {
            processors_milli: self.processors_milli.max(other.processors_milli),
            memory_mb: self.memory_mb.max(other.memory_mb),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }
}

impl fmt::Display for Resources {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{}m processors, {} MB, {} accelerators",
            self.processors_milli, self.memory_mb, self.accelerators
        )
    }
}
