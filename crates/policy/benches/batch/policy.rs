//! Compared policies.

use clap::ValueEnum;
use toucanquay_policy::batch;

/// Scheduling policy for batch work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Policy {
    /// All features of the crate.
    Full,
    /// Without the interference model.
    NoInterference,
    /// Without the interference model, the quarantine and the limit on long tasks.
    NoProtection,
    /// Strict first-in-first-out order with declared demands and first-fit placement.
    Fifo,
}

impl Policy {
    pub const fn has_interference(self) -> bool {
        matches!(self, Self::Full)
    }

    pub const fn has_quarantine(self) -> bool {
        matches!(self, Self::Full | Self::NoInterference)
    }

    /// Returns the backlog settings of the policy.
    pub fn settings(self) -> batch::Settings {
        let settings = batch::Settings::default();
        match self {
            Self::Full | Self::NoInterference => settings,
            Self::NoProtection | Self::Fifo => settings.long_task_share(1.0),
        }
    }
}
