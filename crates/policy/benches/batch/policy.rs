//! Policies that are compared.

use clap::ValueEnum;
use toucanquay_policy::batch;

/// A policy for batch work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Policy {
    /// Everything that the crate has.
    Full,
    /// Without the interference model.
    NoInterference,
    /// Without interference model, quarantine and share of long work.
    NoProtection,
    /// Strict first-in-first-out with declared sizes and the first worker that fits.
    Fifo,
}

impl Policy {
    pub const fn has_interference(self) -> bool {
        matches!(self, Self::Full)
    }

    pub const fn has_quarantine(self) -> bool {
        matches!(self, Self::Full | Self::NoInterference)
    }

    /// Returns the settings of the backlog.
    pub fn settings(self) -> batch::Settings {
        let settings = batch::Settings::default();
        match self {
            Self::Full | Self::NoInterference => settings,
            Self::NoProtection | Self::Fifo => settings.long_task_share(1.0),
        }
    }
}
