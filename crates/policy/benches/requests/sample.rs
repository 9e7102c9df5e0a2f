//! Random figures of the load model.

use rand::{RngExt, rngs::StdRng};

/// Spread of service times (standard deviation of their logarithm).
const LOG_SIGMA: f64 = 0.5;

/// Share of requests that take much longer.
const LONG_SHARE: f64 = 0.005;

/// Factor on the service time of those.
const LONG_FACTOR: f64 = 6.0;

/// Returns an exponentially distributed time.
pub fn exponential(mean: f64, random: &mut StdRng) -> f64 {
    -mean * (1.0 - random.random::<f64>()).ln()
}

/// Returns a service time on an idle worker.
pub fn service_time(median: f64, random: &mut StdRng) -> f64 {
    let radius = (-2.0 * (1.0 - random.random::<f64>()).ln()).sqrt();
    let normal = radius * (std::f64::consts::TAU * random.random::<f64>()).cos();
    let is_long = random.random::<f64>() < LONG_SHARE;
    let factor = if is_long { LONG_FACTOR } else { 1.0 };
    median * (LOG_SIGMA * normal).exp() * factor
}

/// Returns the mean of [`service_time`].
pub fn service_time_mean(median: f64) -> f64 {
    median * (LOG_SIGMA * LOG_SIGMA / 2.0).exp() * (1.0 + LONG_SHARE * (LONG_FACTOR - 1.0))
}
