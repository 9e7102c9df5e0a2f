//! Load of a service on one worker.

use toucanquay_model::Time;

use super::{Settings, profile::HIGH};

/// How loaded a service was on one worker.
#[derive(Debug, Clone, Copy)]
pub(super) struct Demand {
    pub service: usize,
    /// End of the last window of lasting high load.
    peak: Option<Time>,
    /// Whether the last window was high.
    was_high: bool,
}

impl Demand {
    pub const fn new(service: usize) -> Self {
        Self {
            service,
            peak: None,
            was_high: false,
        }
    }

    pub fn notice(&mut self, is_high: bool, at: Time) {
        if is_high && self.was_high {
            self.peak = self.peak.max(Some(at));
        }
        self.was_high = is_high;
    }

    /// Returns the load class for which decisions are made. A high load is assumed to come back
    /// within the time for which peaks are remembered.
    pub fn class(&self, settings: &Settings, now: Time) -> usize {
        let until = self.peak.map(|peak| peak.plus_micros(settings.peak_micros));
        if until.is_some_and(|until| until > now) {
            HIGH
        } else {
            0
        }
    }
}
