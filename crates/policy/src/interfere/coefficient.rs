//! A learned coefficient with its variance.

/// Estimate of one coefficient of a linear model.
#[derive(Debug, Clone, Copy)]
pub(super) struct Coefficient {
    pub mean: f64,
    pub variance: f64,
}

impl Coefficient {
    pub const fn new(mean: f64, variance: f64) -> Self {
        Self { mean, variance }
    }

    /// Moves the estimate by the part of `error` that its variance explains. This is a step of a
    /// Kalman filter that ignores covariances. `total` is the variance of the whole prediction.
    /// `drift` is the process noise, which lets the estimate follow changes.
    pub fn update(&mut self, input: f64, error: f64, total: f64, drift: f64) {
        let gain = self.variance * input / total;
        self.mean += gain * error;
        self.variance = self.variance * (1.0 - gain * input) + drift;
    }

    /// Returns the contribution of this coefficient to the variance of the prediction.
    pub fn variance_contribution(&self, input: f64) -> f64 {
        self.variance * input * input
    }

    /// Returns a value that the coefficient probably exceeds: the mean minus one standard
    /// deviation, but at least zero.
    pub fn lower_bound(&self) -> f64 {
        (self.mean - self.variance.sqrt()).max(0.0)
    }
}
