//! Scheduling settings.

/// Settings of a [`Backlog`](super::Backlog).
///
/// # Examples
///
/// ```
/// use toucanquay_policy::batch::Settings;
///
/// let settings = Settings::default().short_task_max_millis(30_000).long_task_share(0.5);
/// assert_eq!(settings.short_task_max_micros, 30_000_000);
/// ```
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Settings {
    /// Longest run time of a short task, in microseconds.
    pub short_task_max_micros: u64,
    /// Share of all processors that long tasks may reserve.
    pub long_task_share: f64,
    /// Time without a start after which a job counts as starved, in microseconds.
    pub starved_micros: u64,
    /// Regular starts between two starts of starved jobs.
    pub starts_between_starved: u32,
    /// Attained service at which a job leaves the first level, in processor-microseconds.
    pub first_level_max_service: u64,
    /// Ratio between the service bounds of adjacent levels.
    pub level_factor: u64,
    /// Safety margin before a deadline, in microseconds.
    pub deadline_slack_micros: u64,
    /// Usage samples required before a kind's reservation may go below the declared demand.
    pub samples_min: u32,
    /// Ratio of the memory reservation to the highest measured usage. Processors have no such
    /// ratio: they are time-shared, so the measured quantile leaves enough margin.
    pub memory_margin: f64,
    /// Fitting workers compared for each start.
    pub candidates: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            short_task_max_micros: 60_000_000,
            long_task_share: 0.75,
            starved_micros: 600_000_000,
            starts_between_starved: 8,
            first_level_max_service: 60_000_000,
            level_factor: 8,
            deadline_slack_micros: 600_000_000,
            samples_min: 20,
            memory_margin: 1.15,
            candidates: 64,
        }
    }
}

impl Settings {
    /// Sets the longest run time of a short task.
    #[must_use]
    pub const fn short_task_max_millis(mut self, millis: u64) -> Self {
        self.short_task_max_micros = millis * 1_000;
        self
    }

    /// Sets the share of all processors that long tasks may reserve.
    #[must_use]
    pub const fn long_task_share(mut self, share: f64) -> Self {
        self.long_task_share = share;
        self
    }

    /// Sets the time without a start after which a job counts as starved.
    #[must_use]
    pub const fn starved_millis(mut self, millis: u64) -> Self {
        self.starved_micros = millis * 1_000;
        self
    }

    /// Sets the safety margin before a deadline.
    #[must_use]
    pub const fn deadline_slack_millis(mut self, millis: u64) -> Self {
        self.deadline_slack_micros = millis * 1_000;
        self
    }

    /// Sets the usage samples required before a reservation may go below the declared demand.
    #[must_use]
    pub const fn samples_min(mut self, samples: u32) -> Self {
        self.samples_min = samples;
        self
    }

    /// Returns the level of a job with the given attained service, in processor-microseconds.
    pub(super) fn level(&self, attained_service: u64) -> usize {
        let mut bound = self.first_level_max_service;
        for level in 0..super::order::LEVELS - 1 {
            if attained_service < bound {
                return level;
            }
            bound = bound.saturating_mul(self.level_factor);
        }
        super::order::LEVELS - 1
    }
}
