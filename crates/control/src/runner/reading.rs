//! What a worker reports of a running task.

use toucanquay_model::Time;

/// Time after which a worker renews its figures, in microseconds.
///
/// A figure is an average in which the weight of the past halves with each renewal.
const PERIOD_MICROS: u64 = 250_000;

/// Renewals after which the past has no weight left.
const PERIODS_MAX: u64 = 8;

/// A reported average, and the present value that explains how it moves.
///
/// After a neighbour has been slowed down, the average stays high for a second and more. Whoever
/// follows it slows down further neighbours that do no harm.
#[derive(Debug, Clone, Copy)]
pub(super) struct Reading {
    average: u32,
    present: u32,
    /// Lowest average so far; 0 before the first one.
    lowest: u32,
    /// When the figure was last renewed; `None` before the first report.
    renewed_at: Option<Time>,
}

impl Reading {
    /// Returns the reading of an attempt that was not reported yet.
    pub(super) const fn new() -> Self {
        Self {
            average: 0,
            present: 0,
            lowest: 0,
            renewed_at: None,
        }
    }

    /// Takes a report. Returns whether it shows a renewed figure.
    pub(super) fn take(&mut self, average: u32, now: Time) -> bool {
        if average > 0 && (self.lowest == 0 || average < self.lowest) {
            self.lowest = average;
        }
        let Some(renewed_at) = self.renewed_at else {
            self.average = average;
            self.present = average;
            self.renewed_at = Some(now);
            return true;
        };
        let elapsed_micros = now.micros_since(renewed_at);
        if average == self.average {
            if elapsed_micros < PERIOD_MICROS * 3 / 2 {
                return false;
            }
            // The figure was renewed and is the same.
            self.present = average;
            self.renewed_at = Some(now);
            return true;
        }
        let periods = (elapsed_micros + PERIOD_MICROS / 2) / PERIOD_MICROS;
        let past = 0.5_f64.powi(periods.clamp(1, PERIODS_MAX) as i32);
        let present = (f64::from(average) - past * f64::from(self.average)) / (1.0 - past);
        self.average = average;
        self.present = present.max(0.0) as u32;
        self.renewed_at = Some(now);
        true
    }

    /// Returns the lowest average so far; 0 before the first one.
    pub(super) const fn lowest(&self) -> u32 {
        self.lowest
    }

    /// Returns the present value.
    pub(super) const fn present(&self) -> u32 {
        self.present
    }
}
