//! A scalar estimate with its variance.

/// One component of a Kalman filter with a diagonal covariance.
///
/// An observation may depend on several estimates, and corrects the least certain ones most. Their
/// errors are treated as independent.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Estimate {
    /// Most probable value.
    pub value: f64,
    /// Variance of the error.
    variance: f64,
}

impl Estimate {
    /// Returns a prior estimate with the standard deviation of its error.
    #[must_use]
    pub const fn new(value: f64, deviation: f64) -> Self {
        Self {
            value,
            variance: deviation * deviation,
        }
    }

    /// Returns the standard deviation of the error.
    #[must_use]
    pub fn deviation(&self) -> f64 {
        self.variance.sqrt()
    }

    /// Adds the variance by which the quantity may have changed since the last observation, up to
    /// `variance_max` in total.
    pub(super) const fn add_process_noise(&mut self, process_noise: f64, variance_max: f64) {
        self.variance = (self.variance + process_noise).min(variance_max);
    }

    /// Returns the variance that this estimate contributes to an observation in which it has a
    /// weight.
    pub(super) const fn variance_contribution(&self, weight: f64) -> f64 {
        weight * weight * self.variance
    }

    /// Corrects the estimate by the innovation of an observation in which it has a weight.
    pub(super) const fn correct(&mut self, weight: f64, innovation: f64, innovation_variance: f64) {
        let gain = self.variance * weight / innovation_variance;
        self.value += gain * innovation;
        self.variance *= 1.0 - gain * weight;
    }
}
