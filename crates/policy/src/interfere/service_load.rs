//! Load of a service on one worker.

use toucanquay_model::Time;

use super::{Settings, profile::HIGH_LOAD};

/// Recent load of a service on one worker.
#[derive(Debug, Clone, Copy)]
pub(super) struct ServiceLoad {
    pub service: usize,
    /// End of the last window of sustained high load.
    last_peak: Option<Time>,
    /// Whether the load was high in the last window.
    was_high: bool,
}

impl ServiceLoad {
    pub const fn new(service: usize) -> Self {
        Self {
            service,
            last_peak: None,
            was_high: false,
        }
    }

    /// Records the load of a window that ended at `at`. Two consecutive windows of high load make a
    /// peak.
    pub fn record(&mut self, is_high: bool, at: Time) {
        if is_high && self.was_high {
            self.last_peak = self.last_peak.max(Some(at));
        }
        self.was_high = is_high;
    }

    /// Returns the load class on which decisions are based. High load is assumed to recur within
    /// [`Settings::peak_micros`] of a peak.
    pub fn load_class(&self, settings: &Settings, now: Time) -> usize {
        let until = self
            .last_peak
            .map(|last_peak| last_peak.plus_micros(settings.peak_micros));
        if until.is_some_and(|until| until > now) {
            HIGH_LOAD
        } else {
            0
        }
    }
}
