//! Reasons why a task waits.

use displaydoc::Display;
use toucanquay_model::Resources;

use super::Unfit;

/// Why a task has not started.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Wait {
    /// no worker is known
    NoWorker,
    /// {0}
    Unfit(Unfit),
    /// the team holds {held} of its quota of {quota}
    Quota {
        /// What the team's running tasks hold.
        held: Resources,
        /// Its quota.
        quota: Resources,
    },
    /// {running} tasks of the kind run, which is its limit
    Running {
        /// Running tasks of the kind.
        running: u32,
    },
    /// long work holds its share of the workers
    LongShare,
    /// no worker has {reservation} free, or other work goes first
    Room {
        /// What the task will hold.
        reservation: Resources,
    },
}
