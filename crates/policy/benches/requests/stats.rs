//! Request counts and latencies of one run.

use hdrhistogram::Histogram;

/// Maximum recorded latency, the duration of a run. Longer latencies are recorded as this value.
const LATENCY_MICROS_MAX: u64 = 60_000_000;

/// Completion of a request from the view of its client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Completion {
    /// Answered within the deadline.
    InTime,
    /// Answered after the deadline.
    Late,
    /// Refused without running.
    Refused,
    /// Answered with an error.
    Failed,
}

/// Numbers of requests by completion, and latencies of the answered ones.
#[derive(Debug, Clone)]
pub struct Stats {
    pub counts: [u64; 4],
    /// Number of sends to workers, including refused ones and retries.
    pub sends: u64,
    pub latency_micros: Histogram<u64>,
}

impl Stats {
    pub fn new() -> Self {
        let latency_micros =
            Histogram::new_with_max(LATENCY_MICROS_MAX, 3).expect("three digits are supported");
        Self {
            counts: [0; 4],
            sends: 0,
            latency_micros,
        }
    }

    pub fn add(&mut self, end: Completion, micros: u64, sends: u32) {
        self.sends += u64::from(sends);
        self.counts[end as usize] += 1;
        if matches!(end, Completion::InTime | Completion::Late) {
            self.latency_micros.saturating_record(micros);
        }
    }

    pub fn merge(&mut self, other: &Self) {
        for (count, more) in self.counts.iter_mut().zip(other.counts) {
            *count += more;
        }
        self.sends += other.sends;
        self.latency_micros
            .add(&other.latency_micros)
            .expect("both histograms have the same range");
    }

    pub fn offered(&self) -> u64 {
        self.counts.iter().sum()
    }

    /// Number of sends per offered request.
    pub fn sends_per_request(&self) -> f64 {
        self.sends as f64 / self.offered().max(1) as f64
    }

    /// Share of the offered requests with this completion, in percent.
    pub fn percent(&self, end: Completion) -> f64 {
        100.0 * self.counts[end as usize] as f64 / self.offered().max(1) as f64
    }

    /// Latency at a quantile, in milliseconds.
    pub fn latency_millis(&self, quantile: f64) -> f64 {
        self.latency_micros.value_at_quantile(quantile) as f64 / 1_000.0
    }
}
