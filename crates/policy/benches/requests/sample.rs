//! Random distributions of the load model.

use rand::{RngExt, rngs::StdRng};

/// Standard deviation of the logarithm of service times.
const LOG_SIGMA: f64 = 0.5;

/// Share of long requests.
const LONG_SHARE: f64 = 0.005;

/// Factor on the service time of long requests.
const LONG_FACTOR: f64 = 6.0;

/// Samples an exponentially distributed duration.
pub fn exponential(mean: f64, rng: &mut StdRng) -> f64 {
    -mean * (1.0 - rng.random::<f64>()).ln()
}

/// Samples a service time on an idle worker: log-normal, with a share of long requests.
pub fn service_time(median: f64, rng: &mut StdRng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    let normal = radius * (std::f64::consts::TAU * rng.random::<f64>()).cos();
    let is_long = rng.random::<f64>() < LONG_SHARE;
    let factor = if is_long { LONG_FACTOR } else { 1.0 };
    median * (LOG_SIGMA * normal).exp() * factor
}

/// Returns the mean of [`service_time`].
pub fn service_time_mean(median: f64) -> f64 {
    median * (LOG_SIGMA * LOG_SIGMA / 2.0).exp() * (1.0 + LONG_SHARE * (LONG_FACTOR - 1.0))
}
