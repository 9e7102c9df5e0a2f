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
pub struct Row {
    refused: AtomicU64,
    unknown: AtomicU64,
    micros: Mutex<Histogram<u64>>,
}

impl Default for Row {
    fn default() -> Self {
        let histogram = Histogram::new(3).expect("three digits are a valid precision");
        Self {
            refused: AtomicU64::default(),
            unknown: AtomicU64::default(),
            micros: Mutex::new(histogram),
        }
    }
}

impl Row {
    /// Counts an answer.
    pub fn answer(&self, took: Duration) {
        let micros = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
        self.lock()
            .record(micros)
            .expect("the histogram grows with its values");
    }

    /// Counts a refusal as not run.
    pub fn refuse(&self) {
        self.refused.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a request whose outcome is unknown.
    pub fn lose(&self) {
        self.unknown.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the number of answers.
    pub fn answered(&self) -> u64 {
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
    pub fn sum(&self) -> u64 {
        self.answered() + self.refused() + self.unknown()
    }

    /// Returns a quantile of the latencies in milliseconds, as text.
    pub fn quantile(&self, quantile: f64) -> String {
        let micros = self.lock().value_at_quantile(quantile);
        format!("{:.2} ms", micros as f64 / 1e3)
    }

    fn lock(&self) -> MutexGuard<'_, Histogram<u64>> {
        self.micros
            .lock()
            .expect("recording a latency does not panic")
    }
}

/// What became of the demo's requests.
#[derive(Debug, Default)]
pub struct Tally {
    /// Lookups.
    pub lookups: Row,
    /// First sends of reports.
    pub reports: Row,
    /// Second sends of reports.
    pub repeats: Row,
    wrong_answers: AtomicU64,
    answered_reports: Mutex<BTreeSet<u32>>,
}

impl Tally {
    /// Counts an answer to another request.
    pub fn mismatch(&self) {
        self.wrong_answers.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the number of answers to another request.
    pub fn wrong_answers(&self) -> u64 {
        self.wrong_answers.load(Ordering::Relaxed)
    }

    /// Notes that a report was answered.
    pub fn answer_report(&self, report: u32) {
        self.answered().insert(report);
    }

    /// Tells whether a report was answered.
    pub fn is_report_answered(&self, report: u32) -> bool {
        self.answered().contains(&report)
    }

    fn answered(&self) -> MutexGuard<'_, BTreeSet<u32>> {
        self.answered_reports
            .lock()
            .expect("changing the set does not panic")
    }
}
