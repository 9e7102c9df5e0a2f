//! Metrics of a companion.

use metrics::{Counter, Gauge, Histogram, counter, gauge, histogram};
use toucanquay_control::ledger::Outcome;

/// Metrics of one companion, each labelled with the worker.
///
/// The metrics recorder must be installed before they are created; a later one does not see them.
#[derive(Clone)]
pub struct Meters {
    complete: Counter,
    not_run: Counter,
    unknown: Counter,
    refused: Counter,
    latency_seconds: Histogram,
    in_flight: Gauge,
    ledger_records: Gauge,
    heartbeats: Counter,
    heartbeats_failed: Counter,
    revision: Gauge,
    upstream_healthy: Gauge,
    exchanges: Counter,
    exchanges_failed: Counter,
    tasks: Gauge,
}

impl Meters {
    /// Creates the metrics of the companion of `worker`.
    #[must_use]
    pub fn new(worker: &str) -> Self {
        let worker = worker.to_owned();
        let request_counter = |outcome: &'static str| {
            counter!("toucanquay_companion_requests_total",
                "worker" => worker.clone(), "outcome" => outcome)
        };
        let heartbeat_counter = |result: &'static str| {
            counter!("toucanquay_companion_heartbeats_total",
                "worker" => worker.clone(), "result" => result)
        };
        let exchange_counter = |result: &'static str| {
            counter!("toucanquay_companion_exchanges_total",
                "worker" => worker.clone(), "result" => result)
        };
        Self {
            complete: request_counter("whole"),
            not_run: request_counter("not_run"),
            unknown: request_counter("unknown"),
            refused: request_counter("refused"),
            latency_seconds: histogram!("toucanquay_companion_request_seconds",
                "worker" => worker.clone()),
            in_flight: gauge!("toucanquay_companion_in_flight", "worker" => worker.clone()),
            ledger_records: gauge!("toucanquay_companion_ledger_records", "worker" => worker.clone()),
            heartbeats: heartbeat_counter("replied"),
            heartbeats_failed: heartbeat_counter("failed"),
            revision: gauge!("toucanquay_companion_revision", "worker" => worker.clone()),
            upstream_healthy: gauge!("toucanquay_companion_upstream_healthy", "worker" => worker.clone()),
            exchanges: exchange_counter("answered"),
            exchanges_failed: exchange_counter("failed"),
            tasks: gauge!("toucanquay_companion_tasks", "worker" => worker.clone()),
        }
    }

    /// Records the outcome and latency of a request that occupied a slot.
    pub fn record_request(&self, outcome: &Outcome, micros: u64) {
        match outcome {
            Outcome::Complete(_) => self.complete.increment(1),
            Outcome::NotRun => self.not_run.increment(1),
            Outcome::Unknown => self.unknown.increment(1),
        }
        #[expect(
            clippy::cast_precision_loss,
            reason = "a latency has far fewer than 2^52 microseconds"
        )]
        self.latency_seconds.record(micros as f64 / 1e6);
    }

    /// Counts a request that failed without having run.
    pub fn count_refused(&self) {
        self.refused.increment(1);
    }

    /// Sets the number of requests in flight.
    pub fn set_in_flight(&self, count: u32) {
        self.in_flight.set(f64::from(count));
    }

    /// Sets the number of records in the request ledger.
    pub fn set_ledger_records(&self, records: usize) {
        self.ledger_records
            .set(f64::from(u32::try_from(records).unwrap_or(u32::MAX)));
    }

    /// Counts a heartbeat, by whether a reply was received.
    pub fn count_heartbeat(&self, is_replied: bool) {
        if is_replied {
            self.heartbeats.increment(1);
        } else {
            self.heartbeats_failed.increment(1);
        }
    }

    /// Counts a report exchange with the cell owner, by whether a response was received.
    pub fn count_exchange(&self, is_answered: bool) {
        if is_answered {
            self.exchanges.increment(1);
        } else {
            self.exchanges_failed.increment(1);
        }
    }

    /// Sets the number of tasks that hold resources.
    pub fn set_tasks(&self, running: u32) {
        self.tasks.set(f64::from(running));
    }

    /// Counts a violation of invariant `number` in `docs/design.md`.
    pub fn count_violation(&self, number: u8) {
        counter!("toucanquay_invariant_violations_total", "invariant" => number.to_string())
            .increment(1);
    }

    /// Sets the held configuration revision.
    pub fn set_revision(&self, revision: u64) {
        #[expect(clippy::cast_precision_loss, reason = "revisions stay far below 2^52")]
        self.revision.set(revision as f64);
    }

    /// Sets whether the upstream is healthy.
    pub fn set_healthy(&self, is_healthy: bool) {
        self.upstream_healthy.set(f64::from(u8::from(is_healthy)));
    }
}

impl std::fmt::Debug for Meters {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("Meters").finish_non_exhaustive()
    }
}
