//! Reasons why a task waits.

use displaydoc::Display;
use toucanquay_model::Resources;

use super::Unschedulable;

/// Why a task has not started.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum WaitReason {
    /// no worker is known
    NoWorker,
    /// {0}
    Unschedulable(Unschedulable),
    /// the team holds {reserved} of its quota of {quota}
    Quota {
        /// What the team's running tasks hold.
        reserved: Resources,
        /// Its quota.
        quota: Resources,
    },
    /// {running} tasks of the kind run, which is its limit
    KindLimit {
        /// Running tasks of the kind.
        running: u32,
    },
    /// long work holds its share of the workers
    LongTaskShare,
    /// no worker has {reservation} free, or other work goes first
    Capacity {
        /// What the task will hold.
        reservation: Resources,
    },
}
