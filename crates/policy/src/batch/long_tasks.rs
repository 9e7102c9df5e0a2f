//! Account of the running tasks that are long.

use std::collections::BTreeSet;

use toucanquay_model::Time;

use super::{order::JobKey, run::Run};

/// Running tasks that count as long, and those that will.
#[derive(Debug, Clone, Default)]
pub(super) struct LongTasks {
    /// Running tasks by the time from which they count as long.
    pending: BTreeSet<(Time, JobKey, u32)>,
    /// Processors reserved by long tasks, in thousandths.
    processors_milli: u64,
}

impl LongTasks {
    /// Adds a run, which counts as long now or from its `long_at` on.
    pub fn add(&mut self, key: JobKey, index: u32, run: &Run) {
        if run.is_long {
            self.processors_milli += u64::from(run.reservation.processors_milli);
        } else {
            self.pending.insert((run.long_at, key, index));
        }
    }

    /// Removes a run that has ended.
    pub fn remove(&mut self, key: JobKey, index: u32, run: &Run) {
        if run.is_long {
            self.processors_milli -= u64::from(run.reservation.processors_milli);
        } else {
            self.pending.remove(&(run.long_at, key, index));
        }
    }

    /// Removes and returns a task that isn't counted as long yet and is due to be.
    pub fn pop_pending(&mut self, now: Time) -> Option<(JobKey, u32)> {
        let &(long_at, key, index) = self.pending.first()?;
        if long_at > now {
            return None;
        }
        self.pending.pop_first();
        Some((key, index))
    }

    /// Returns the processors reserved by long tasks, in thousandths.
    pub const fn processors_milli(&self) -> u64 {
        self.processors_milli
    }
}
