//! Processors, memory and accelerators.

use std::fmt;

use serde::{Deserialize, Serialize};

/// An amount of each kind of resource: a worker's capacity or a task's demand.
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
    /// Thousandths of a processor.
    #[serde(default)]
    pub processors_milli: u32,
    /// Megabytes of memory.
    #[serde(default)]
    pub memory_mb: u32,
    /// Whole accelerators.
    #[serde(default)]
    pub accelerators: u32,
}

impl Resources {
    /// No resources at all.
    pub const ZERO: Self = Self {
        processors_milli: 0,
        memory_mb: 0,
        accelerators: 0,
    };

    /// Tells whether each amount is at most that of `available`.
    #[must_use]
    pub const fn fits(&self, available: &Self) -> bool {
        self.processors_milli <= available.processors_milli
            && self.memory_mb <= available.memory_mb
            && self.accelerators <= available.accelerators
    }

    /// Returns the sum, saturating at the largest amount.
    #[must_use]
    pub const fn plus(&self, other: &Self) -> Self {
        Self {
            processors_milli: self.processors_milli.saturating_add(other.processors_milli),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Returns what is left after taking `other`, or `None` when it does not fit.
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

    /// Returns what is left after taking `other`, with each amount at least zero.
    #[must_use]
    pub const fn saturating_sub(&self, other: &Self) -> Self {
        Self {
            processors_milli: self.processors_milli.saturating_sub(other.processors_milli),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Returns the larger of each amount.
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
