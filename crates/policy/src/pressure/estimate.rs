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
    pub(super) const fn drift(&mut self, variance: f64, variance_max: f64) {
        self.variance = (self.variance + variance).min(variance_max);
    }

    /// Returns the variance that this quantity gives to an observation in which it has a weight.
    pub(super) const fn spread(&self, weight: f64) -> f64 {
        weight * weight * self.variance
    }

    /// Takes the error of an observation in which the quantity has a weight.
    pub(super) const fn correct(&mut self, weight: f64, error: f64, spread: f64) {
        let gain = self.variance * weight / spread;
        self.value += gain * error;
        self.variance *= 1.0 - gain * weight;
    }
}
