//! Statistics of the demo's requests.

use std::{
    collections::BTreeSet,
    sync::{
        Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering},
    },
};

use hdrhistogram::Histogram;
use tokio::time::Duration;

/// Outcomes and latencies of one kind of request.
#[derive(Debug)]
pub struct RequestStats {
    refused: AtomicU64,
    unknown: AtomicU64,
    latencies_micros: Mutex<Histogram<u64>>,
}

impl Default for RequestStats {
    fn default() -> Self {
        let histogram = Histogram::new(3).expect("three significant digits are a valid precision");
        Self {
            refused: AtomicU64::default(),
            unknown: AtomicU64::default(),
            latencies_micros: Mutex::new(histogram),
        }
    }
}

impl RequestStats {
    /// Records a response with its latency.
    pub fn record_response(&self, latency: Duration) {
        let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        self.lock()
            .record(micros)
            .expect("the histogram resizes to fit any value");
    }

    /// Records a request that was refused without being run.
    pub fn record_refusal(&self) {
        self.refused.fetch_add(1, Ordering::Relaxed);
    }

    /// Records a request whose outcome is unknown.
    pub fn record_unknown(&self) {
        self.unknown.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the number of responses.
    pub fn responses(&self) -> u64 {
        self.lock().len()
    }

    /// Returns the number of refused requests.
    pub fn refused(&self) -> u64 {
        self.refused.load(Ordering::Relaxed)
    }

    /// Returns the number of requests whose outcome is unknown.
    pub fn unknown(&self) -> u64 {
        self.unknown.load(Ordering::Relaxed)
    }

    /// Returns the number of requests that ended in any way.
    pub fn total(&self) -> u64 {
        self.responses() + self.refused() + self.unknown()
    }

    /// Returns a latency quantile, formatted in milliseconds.
    pub fn quantile(&self, quantile: f64) -> String {
        let micros = self.lock().value_at_quantile(quantile);
        format!("{:.2} ms", micros as f64 / 1e3)
    }

    fn lock(&self) -> MutexGuard<'_, Histogram<u64>> {
        self.latencies_micros
            .lock()
            .expect("no thread panics while it holds this lock")
    }
}

/// Statistics of all requests of the demo.
#[derive(Debug, Default)]
pub struct LoadStats {
    /// Statistics of the lookups.
    pub lookups: RequestStats,
    /// Statistics of the first request for each report.
    pub reports: RequestStats,
    /// Statistics of the repeated request for each report.
    pub repeated_reports: RequestStats,
    mismatches: AtomicU64,
    answered_reports: Mutex<BTreeSet<u32>>,
}

impl LoadStats {
    /// Records a response that belongs to another request.
    pub fn record_mismatch(&self) {
        self.mismatches.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the number of responses that belong to another request.
    pub fn mismatches(&self) -> u64 {
        self.mismatches.load(Ordering::Relaxed)
    }

    /// Records that a report got a response.
    pub fn record_report_response(&self, report: u32) {
        self.lock_answered_reports().insert(report);
    }

    /// Returns whether a report got a response.
    pub fn has_report_response(&self, report: u32) -> bool {
        self.lock_answered_reports().contains(&report)
    }

    fn lock_answered_reports(&self) -> MutexGuard<'_, BTreeSet<u32>> {
        self.answered_reports
            .lock()
            .expect("no thread panics while it holds this lock")
    }
}
