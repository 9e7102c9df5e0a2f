//! Reporting of invariant violations at run time.

use slog::{Logger, error};

/// Counts and logs a violation of the invariant `number` of docs/design.md.
///
/// The process continues; the caller rejects the operation that would violate the invariant.
pub fn report_violation(log: &Logger, number: u8, description: &str) {
    metrics::counter!("toucanquay_invariant_violations_total", "invariant" => number.to_string())
        .increment(1);
    error!(log, "invariant_violated"; "invariant" => number, "what" => description);
}
