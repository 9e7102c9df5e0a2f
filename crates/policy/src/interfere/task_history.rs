//! History of a task on a worker.

use smallvec::{SmallVec, smallvec};
use toucanquay_model::Time;

use super::coefficient::Coefficient;

/// Prior of the effect of one task beyond that of its kind.
const TASK_EFFECT_PRIOR: Coefficient = Coefficient::new(0.0, 0.02);

/// Shares and measured usage of a task on a worker.
#[derive(Debug)]
pub(super) struct TaskHistory {
    pub kind: usize,
    pub ended_at: Option<Time>,
    /// Shares in percent, each with the time from which it applies.
    shares: SmallVec<[(Time, u8); 4]>,
    /// Measured windows, each with its bounds and the mean processor usage in thousandths of a
    /// processor.
    usages: SmallVec<[(Time, Time, u32); 2]>,
    /// Effect of this task beyond that of its kind.
    pub task_effect: Coefficient,
    /// Time until which the share must not be raised.
    pub hold_until: Time,
    /// Minimum duration of the next throttling, in microseconds.
    pub hold_micros: u64,
    pub is_evicting: bool,
}

impl TaskHistory {
    pub fn new(kind: usize, now: Time, hold_micros: u64) -> Self {
        Self {
            kind,
            ended_at: None,
            shares: smallvec![(now, 100)],
            usages: SmallVec::new(),
            task_effect: TASK_EFFECT_PRIOR,
            hold_until: Time::ZERO,
            hold_micros,
            is_evicting: false,
        }
    }

    /// Returns the current share in percent.
    pub fn share_percent(&self) -> u8 {
        self.shares.last().map_or(100, |(_, share)| *share)
    }

    /// Changes the share and discards shares that ended before `horizon`.
    pub fn set_share(&mut self, share_percent: u8, now: Time, horizon: Time) {
        self.shares.push((now, share_percent));
        while self.shares.len() > 1 && self.shares[1].0 < horizon {
            self.shares.remove(0);
        }
    }

    /// Records the measured usage of a window and discards windows that ended before `horizon`.
    pub fn record(&mut self, from: Time, to: Time, processors_milli: u32, horizon: Time) {
        self.usages.retain(|(_, to, _)| *to >= horizon);
        self.usages.push((from, to, processors_milli));
    }

    /// Returns the activity of the task in a past window: its measured usage relative to
    /// `mean_usage_milli`, the mean usage of its kind, or its mean share if there is no
    /// measurement.
    pub fn activity(&self, from: Time, to: Time, mean_usage_milli: f64) -> f64 {
        /// Bounds the effect of a single outlier.
        const ACTIVITY_MAX: f64 = 4.0;
        let half = to.micros_since(from) / 2;
        let overlap = |usage: &(Time, Time, u32)| usage.1.min(to).micros_since(usage.0.max(from));
        let usage = self.usages.iter().find(|usage| overlap(usage) > half);
        match usage {
            Some((_, _, milli)) if mean_usage_milli > 0.0 => {
                (f64::from(*milli) / mean_usage_milli).min(ACTIVITY_MAX)
            }
            _ => self.mean_share(from, to),
        }
    }

    /// Returns the mean share over a past window, from 0 to 1.
    pub fn mean_share(&self, from: Time, to: Time) -> f64 {
        let window = to.micros_since(from).max(1);
        let end = self.ended_at.unwrap_or(Time::NEVER).min(to);
        let mut sum = 0;
        for (index, (since, share)) in self.shares.iter().enumerate() {
            let until = self
                .shares
                .get(index + 1)
                .map_or(end, |next| next.0.min(end));
            let overlap = until.micros_since((*since).max(from));
            sum += overlap * u64::from(*share);
        }
        sum as f64 / (window * 100) as f64
    }
}
