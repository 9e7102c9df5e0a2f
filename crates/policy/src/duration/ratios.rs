//! Durations of tasks as multiples of their estimates.

/// Number of buckets.
const BUCKETS: usize = 24;

/// Number of buckets for each doubling of the ratio.
const BUCKETS_PER_DOUBLING: f64 = 2.0;

/// Bucket of the ratio 1.
const UNIT_BUCKET: f64 = 8.0;

/// Factor by which the weights of earlier ratios fall with each further one.
const DECAY: f32 = 0.985;

/// Sum of weights from which on quantiles are known.
const WEIGHT_MIN: f32 = 5.0;

/// Ratios of the durations of tasks to their estimates, on a logarithmic scale from a sixteenth to
/// 256. Earlier tasks count less than later ones.
#[derive(Debug, Clone, Default)]
pub struct Ratios {
    weights: [f32; BUCKETS],
}

impl Ratios {
    /// Adds the ratio of a task that is done.
    pub fn record(&mut self, estimate_ms: u64, duration_ms: u64) {
        let ratio = duration_ms.max(1) as f64 / estimate_ms.max(1) as f64;
        let bucket = (ratio.log2() * BUCKETS_PER_DOUBLING + UNIT_BUCKET).round();
        let bucket = bucket.clamp(0.0, (BUCKETS - 1) as f64) as usize;
        for weight in &mut self.weights {
            *weight *= DECAY;
        }
        if let Some(weight) = self.weights.get_mut(bucket) {
            *weight += 1.0;
        }
    }

    /// Returns the ratio that a share of the tasks doesn't exceed. Returns `None` if too few tasks
    /// are done.
    #[must_use]
    pub fn quantile(&self, share: f64) -> Option<f64> {
        let total: f32 = self.weights.iter().sum();
        if total < WEIGHT_MIN {
            return None;
        }
        let wanted = share.clamp(0.0, 1.0) * f64::from(total);
        let mut sum = 0.0;
        let bucket = self.weights.iter().position(|weight| {
            sum += f64::from(*weight);
            sum >= wanted && sum > 0.0
        });
        let bucket = bucket.unwrap_or(BUCKETS - 1) as f64;
        Some(((bucket - UNIT_BUCKET) / BUCKETS_PER_DOUBLING).exp2())
    }
}
