//! Settings of a companion's task table.

use toucanquay_model::{Incarnation, Resources, Time, worker};

/// Identity, capacity and waiting times of a companion's task table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// The worker.
    pub worker: worker::Id,
    /// The run of the companion. A later run has a higher number.
    pub incarnation: Incarnation,
    /// Capacity of the worker for batch tasks.
    pub capacity: Resources,
    /// Longest lease that is accepted, in microseconds.
    pub lease_micros_max: u64,
    /// How long before the end of its lease a task is stopped, in microseconds. The time is for
    /// taking a checkpoint.
    pub stop_lead_micros: u64,
    /// When a stop is repeated that has no answer, in microseconds.
    pub retry_interval_micros: u64,
    /// How long new tasks are refused after the start, in microseconds. A start that the
    /// predecessor sent may reach the runtime until its lease ends, so a shorter time than the
    /// longest lease is safe only where no predecessor can have run.
    pub settle_micros: u64,
}

impl Settings {
    /// Returns the default settings of a worker: leases of 10 s, stops 2 s before their end.
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

    pub(super) const fn retry_at(&self, now: Time) -> Time {
        now.plus_micros(self.retry_interval_micros)
    }

    /// Returns when a task whose lease ends at `deadline` is stopped.
    pub(super) const fn stop_at(&self, deadline: Time) -> Time {
        Time::from_micros(deadline.as_micros().saturating_sub(self.stop_lead_micros))
    }

    /// Returns when the next list is due; one is always due at the end of settling.
    pub(super) fn next_list_at(&self, now: Time, settling_ends_at: Time) -> Time {
        let regular = self.retry_at(now);
        if settling_ends_at > now {
            regular.min(settling_ends_at)
        } else {
            regular
        }
    }
}
