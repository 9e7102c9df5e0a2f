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

    /// Corrects the estimate by the part of `innovation`, the error of a prediction, that its
    /// variance explains. This is a step of a Kalman filter that ignores covariances.
    ///
    /// `weight` is the factor of this coefficient in the prediction. `innovation_variance` is the
    /// variance of the innovation. `process_noise` lets the estimate follow changes.
    pub fn update(
        &mut self,
        weight: f64,
        innovation: f64,
        innovation_variance: f64,
        process_noise: f64,
    ) {
        let gain = self.variance * weight / innovation_variance;
        self.mean += gain * innovation;
        self.variance = self.variance * (1.0 - gain * weight) + process_noise;
    }

    /// Returns the contribution of this coefficient to the variance of the prediction.
    pub fn variance_contribution(&self, weight: f64) -> f64 {
        self.variance * weight * weight
    }

    /// Returns a value that the coefficient probably exceeds: the mean minus one standard
    /// deviation, but at least zero.
    pub fn lower_bound(&self) -> f64 {
        (self.mean - self.variance.sqrt()).max(0.0)
    }
}
