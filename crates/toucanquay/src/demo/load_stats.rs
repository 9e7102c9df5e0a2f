//! What became of the demo's requests.

use std::{
    collections::BTreeSet,
    sync::{
        Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering},
    },
};

use hdrhistogram::Histogram;
use tokio::time::Duration;

/// Counts and latencies of one kind of request.
#[derive(Debug)]
pub struct RequestStats {
    refused: AtomicU64,
    unknown: AtomicU64,
    latencies_micros: Mutex<Histogram<u64>>,
}

impl Default for RequestStats {
    fn default() -> Self {
        let histogram = Histogram::new(3).expect("three digits are a valid precision");
        Self {
            refused: AtomicU64::default(),
            unknown: AtomicU64::default(),
            latencies_micros: Mutex::new(histogram),
        }
    }
}

impl RequestStats {
    /// Counts an answer.
    pub fn record_response(&self, latency: Duration) {
        let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        self.lock()
            .record(micros)
            .expect("the histogram grows with its values");
    }

    /// Counts a refusal as not run.
    pub fn record_refusal(&self) {
        self.refused.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a request whose outcome is unknown.
    pub fn record_unknown(&self) {
        self.unknown.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the number of answers.
    pub fn responses(&self) -> u64 {
        self.lock().len()
    }

    /// Returns the number of refusals.
    pub fn refused(&self) -> u64 {
        self.refused.load(Ordering::Relaxed)
    }

    /// Returns the number of requests whose outcome is unknown.
    pub fn unknown(&self) -> u64 {
        self.unknown.load(Ordering::Relaxed)
    }

    /// Returns the number of requests that ended.
    pub fn total(&self) -> u64 {
        self.responses() + self.refused() + self.unknown()
    }

    /// Returns a quantile of the latencies in milliseconds, as text.
    pub fn quantile(&self, quantile: f64) -> String {
        let micros = self.lock().value_at_quantile(quantile);
        format!("{:.2} ms", micros as f64 / 1e3)
    }

    fn lock(&self) -> MutexGuard<'_, Histogram<u64>> {
        self.latencies_micros
            .lock()
            .expect("recording a latency does not panic")
    }
}

/// What became of the demo's requests.
#[derive(Debug, Default)]
pub struct LoadStats {
    /// Lookups.
    pub lookups: RequestStats,
    /// First sends of reports.
    pub reports: RequestStats,
    /// Second sends of reports.
    pub repeated_reports: RequestStats,
    mismatches: AtomicU64,
    answered_reports: Mutex<BTreeSet<u32>>,
}

impl LoadStats {
    /// Counts an answer to another request.
    pub fn record_mismatch(&self) {
        self.mismatches.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the number of answers to another request.
    pub fn mismatches(&self) -> u64 {
        self.mismatches.load(Ordering::Relaxed)
    }

    /// Notes that a report was answered.
    pub fn record_report_response(&self, report: u32) {
        self.lock_answered_reports().insert(report);
    }

    /// Tells whether a report was answered.
    pub fn has_report_response(&self, report: u32) -> bool {
        self.lock_answered_reports().contains(&report)
    }

    fn lock_answered_reports(&self) -> MutexGuard<'_, BTreeSet<u32>> {
        self.answered_reports
            .lock()
            .expect("changing the set does not panic")
    }
}
