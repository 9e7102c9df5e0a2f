//! Recovers the current value of a gauge from the moving average that a worker reports.

use toucanquay_model::Time;

/// Interval at which a worker renews its gauges, in microseconds.
///
/// A gauge is an exponential moving average: the weight of the past halves with each renewal. It is
/// zero until the first measurement and begins with it, so that there is no past to remove then.
const RENEWAL_MICROS: u64 = 250_000;

/// Largest number of renewals that is assumed between two reports; the weight of the past is
/// negligible by then.
const RENEWALS_MAX: u64 = 8;

/// Estimates the current value of a gauge from successive reports of its moving average.
///
/// After a neighbour has been slowed down, the average stays high for a second or more. Pacing by
/// the average would go on to slow down neighbours that do no harm.
#[derive(Debug, Clone, Copy)]
pub(super) struct GaugeEstimator {
    average: u32,
    current: u32,
    /// Lowest average so far; 0 before the first one.
    min_average: u32,
    /// When the gauge was last renewed; `None` before the first report.
    renewed_at: Option<Time>,
}

impl GaugeEstimator {
    /// Returns an estimator without a report.
    pub(super) const fn new() -> Self {
        Self {
            average: 0,
            current: 0,
            min_average: 0,
            renewed_at: None,
        }
    }

    /// Processes a reported average. Returns whether the gauge was renewed.
    pub(super) fn update(&mut self, average: u32, now: Time) -> bool {
        let is_first_measurement = average > 0 && self.min_average == 0;
        if average > 0 && (self.min_average == 0 || average < self.min_average) {
            self.min_average = average;
        }
        let Some(renewed_at) = self.renewed_at.filter(|_| !is_first_measurement) else {
            self.average = average;
            self.current = average;
            self.renewed_at = Some(now);
            return true;
        };
        let elapsed_micros = now.micros_since(renewed_at);
        if average == self.average {
            if elapsed_micros < RENEWAL_MICROS * 3 / 2 {
                return false;
            }
            // After this time the gauge must have been renewed with the same value.
            self.current = average;
            self.renewed_at = Some(now);
            return true;
        }
        let renewals = (elapsed_micros + RENEWAL_MICROS / 2) / RENEWAL_MICROS;
        let past_weight = 0.5_f64.powi(renewals.clamp(1, RENEWALS_MAX) as i32);
        let current =
            (f64::from(average) - past_weight * f64::from(self.average)) / (1.0 - past_weight);
        self.average = average;
        self.current = current.max(0.0) as u32;
        self.renewed_at = Some(now);
        true
    }

    /// Returns the lowest average so far; 0 before the first one.
    pub(super) const fn min_average(&self) -> u32 {
        self.min_average
    }

    /// Returns the estimated current value.
    pub(super) const fn current(&self) -> u32 {
        self.current
    }
}
