//! Invariants that are checked while the program runs.

use slog::{Logger, error};

/// Counts and logs a violation of the invariant `number` of docs/design.md.
///
/// The program goes on: what was about to happen is refused where the check stands.
pub fn report_violation(log: &Logger, number: u8, description: &str) {
    metrics::counter!("toucanquay_invariant_violations_total", "invariant" => number.to_string())
        .increment(1);
    error!(log, "invariant_violated"; "invariant" => number, "what" => description);
}
