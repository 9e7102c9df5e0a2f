//! Random distributions of the load model.

use rand::{Rng, RngExt};

/// Standard deviation of the logarithm of run times.
pub const RUN_SIGMA: f64 = 0.5;

/// Returns a sample with a log-normal distribution.
pub fn log_normal(rng: &mut impl Rng, median: f64, sigma: f64) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    let normal = radius * (std::f64::consts::TAU * rng.random::<f64>()).cos();
    median * (sigma * normal).exp()
}

/// Returns the time to the next event of a Poisson process, in seconds.
pub fn exponential(rng: &mut impl Rng, per_second: f64) -> f64 {
    -(1.0 - rng.random::<f64>()).ln() / per_second
}
