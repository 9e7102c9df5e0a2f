//! Refused connections to the worker.

use toucanquay_model::Time;

/// Number of refused connections without an answer in between after which the worker may count as
/// exited.
const REFUSALS_MIN: u32 = 3;

/// Time for which connections are refused until the worker counts as exited, in microseconds. A
/// process that lives may refuse them for a moment, for example while it opens its listener again.
const REFUSAL_MICROS_MIN: u64 = 600_000;

/// Refused connections without an answer in between.
#[derive(Debug, Default)]
pub(super) struct Refusals {
    count: u32,
    /// When the first one was refused.
    since: Time,
    has_exited: bool,
}

impl Refusals {
    /// Records a refused connection. Returns whether the worker counts as exited from now on.
    pub(super) fn record(&mut self, now: Time) -> bool {
        if self.count == 0 {
            self.since = now;
        }
        self.count = self.count.saturating_add(1);
        let exited_at = self.since.plus_micros(REFUSAL_MICROS_MIN);
        let has_exited = self.count >= REFUSALS_MIN && now >= exited_at;
        let is_first = has_exited && !self.has_exited;
        self.has_exited |= has_exited;
        is_first
    }
}
