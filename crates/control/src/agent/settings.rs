//! Settings of a companion's task table.

use toucanquay_model::{Incarnation, Resources, Time, worker};

/// Identity, capacity and timing of a companion's task table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Name of the worker that the companion serves, sent in each report.
    pub worker: worker::Id,
    /// Incarnation of the companion. A restarted companion has a higher one.
    pub incarnation: Incarnation,
    /// Capacity of the worker for batch tasks.
    pub capacity: Resources,
    /// Maximum lease that is accepted, in microseconds.
    pub lease_micros_max: u64,
    /// Time before the end of its lease at which a task is stopped, in microseconds. It allows the
    /// task to take a checkpoint.
    pub stop_lead_micros: u64,
    /// Interval at which an unanswered stop or list is retried, in microseconds.
    pub retry_interval_micros: u64,
    /// Time for which new tasks are refused after the start, in microseconds. A start that the
    /// former incarnation sent may reach the runtime until its lease ends, so a value below the
    /// maximum lease is safe only if no former incarnation can have run.
    pub settle_micros: u64,
}

impl Settings {
    /// Returns the default settings of a worker: leases of 10 s, with stops 2 s before their end.
    #[must_use]
    pub const fn new(worker: worker::Id, incarnation: Incarnation, capacity: Resources) -> Self {
        Self {
            worker,
            incarnation,
            capacity,
            lease_micros_max: 10_000_000,
            stop_lead_micros: 2_000_000,
            retry_interval_micros: 1_000_000,
            settle_micros: 10_000_000,
        }
    }

    /// Returns when an unanswered call made at `now` is retried.
    pub(super) const fn retry_at(&self, now: Time) -> Time {
        now.plus_micros(self.retry_interval_micros)
    }

    /// Returns when a task whose lease ends at `deadline` has to be stopped.
    pub(super) const fn stop_at(&self, deadline: Time) -> Time {
        Time::from_micros(deadline.as_micros().saturating_sub(self.stop_lead_micros))
    }

    /// Returns when the next list is due. One is always due at the end of settling.
    pub(super) fn next_list_at(&self, now: Time, settling_ends_at: Time) -> Time {
        let regular = self.retry_at(now);
        if settling_ends_at > now {
            regular.min(settling_ends_at)
        } else {
            regular
        }
    }
}
