//! Reasons why a task is waiting.

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
    /// the team has reserved {reserved} of its quota of {quota}
    Quota {
        /// Total reservation of the team's running tasks.
        reserved: Resources,
        /// Quota of the team.
        quota: Resources,
    },
    /// {running} tasks of the kind are running, which is its limit
    KindLimit {
        /// Number of running tasks of the kind.
        running: u32,
    },
    /// long tasks have used up their share of the processors
    LongTaskShare,
    /// no worker has {reservation} free, or other tasks have priority
    Capacity {
        /// Reservation for the task.
        reservation: Resources,
    },
}
