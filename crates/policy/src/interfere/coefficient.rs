//! A learned coefficient with its variance.

/// Estimate of one coefficient.
#[derive(Debug, Clone, Copy)]
pub(super) struct Coefficient {
    pub mean: f64,
    pub variance: f64,
}

impl Coefficient {
    pub const fn new(mean: f64, variance: f64) -> Self {
        Self { mean, variance }
    }

    /// Moves the estimate by the part of `error` that its uncertainty explains. `total` is the
    /// variance of the whole prediction, and `drift` keeps the estimate able to change.
    pub fn update(&mut self, input: f64, error: f64, total: f64, drift: f64) {
        let gain = self.variance * input / total;
        self.mean += gain * error;
        self.variance = self.variance * (1.0 - gain * input) + drift;
    }

    /// Returns the part of the prediction's variance that this coefficient contributes.
    pub fn variance_contribution(&self, input: f64) -> f64 {
        self.variance * input * input
    }

    /// Returns a value that the coefficient probably exceeds, at least zero.
    pub fn lower_bound(&self) -> f64 {
        (self.mean - self.variance.sqrt()).max(0.0)
    }
}
