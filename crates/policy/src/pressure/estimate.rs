//! An uncertain quantity.

/// A quantity that is estimated from observations, each of which depends on several quantities.
///
/// An observation corrects most what is least certain. All variances are kept as if the quantities
/// were independent.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Estimate {
    /// The most probable value.
    pub value: f64,
    /// The variance of the error.
    variance: f64,
}

impl Estimate {
    /// Returns a first assumption with the standard deviation of its error.
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

    /// Adds what the quantity may have changed by since the last observation.
    pub(super) const fn add_process_noise(&mut self, process_noise: f64, variance_max: f64) {
        self.variance = (self.variance + process_noise).min(variance_max);
    }

    /// Returns the variance that this quantity gives to an observation in which it has a weight.
    pub(super) const fn variance_contribution(&self, weight: f64) -> f64 {
        weight * weight * self.variance
    }

    /// Takes the error of an observation in which the quantity has a weight.
    pub(super) const fn correct(&mut self, weight: f64, innovation: f64, innovation_variance: f64) {
        let gain = self.variance * weight / innovation_variance;
        self.value += gain * innovation;
        self.variance *= 1.0 - gain * weight;
    }
}
