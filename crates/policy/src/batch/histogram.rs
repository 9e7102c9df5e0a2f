//! Histogram with geometric buckets and decaying weights.

/// Ratio between the upper bounds of adjacent buckets.
const BUCKET_RATIO: f64 = 1.1;

/// Number of buckets. 1.1^255 exceeds 3.5e10, so durations in microseconds are covered up to nine
/// hours.
const BUCKETS: usize = 256;

/// Total weight at which all weights are halved, so that the histogram adapts when a kind's
/// behaviour changes.
const DECAY_WEIGHT: f32 = 4_096.0;

/// Distribution of a positive quantity.
#[derive(Debug, Clone)]
pub(super) struct Histogram {
    weights: Vec<f32>,
    total: f32,
}

impl Histogram {
    pub fn new() -> Self {
        Self {
            weights: vec![0.0; BUCKETS],
            total: 0.0,
        }
    }

    /// Adds a sample.
    pub fn add(&mut self, amount: u64) {
        self.weights[Self::bucket(amount)] += 1.0;
        self.total += 1.0;
        if self.total >= DECAY_WEIGHT {
            self.decay();
        }
    }

    /// Returns the upper bound of the bucket that contains `quantile`, or zero if empty.
    pub fn quantile(&self, quantile: f32) -> u64 {
        let wanted = self.total * quantile;
        let mut sum = 0.0;
        for (bucket, weight) in self.weights.iter().enumerate() {
            sum += weight;
            if *weight > 0.0 && sum >= wanted {
                return Self::upper_bound(bucket);
            }
        }
        0
    }

    /// Returns the upper bound of the highest bucket with a nonzero weight, or zero if empty.
    pub fn max(&self) -> u64 {
        let bucket = self.weights.iter().rposition(|weight| *weight > 0.0);
        bucket.map_or(0, Self::upper_bound)
    }

    fn decay(&mut self) {
        for weight in &mut self.weights {
            *weight = if *weight < 0.1 { 0.0 } else { *weight / 2.0 };
        }
        self.total = self.weights.iter().sum();
    }

    fn bucket(amount: u64) -> usize {
        let exponent = (amount.max(1) as f64).ln() / BUCKET_RATIO.ln();
        (exponent.ceil() as usize).min(BUCKETS - 1)
    }

    fn upper_bound(bucket: usize) -> u64 {
        BUCKET_RATIO.powi(bucket as i32).ceil() as u64
    }
}
