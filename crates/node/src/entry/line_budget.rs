//! Bound on the number of log lines of one event.

use toucanquay_model::Time;

/// Time after which the budget is full again, in microseconds.
const PERIOD_MICROS: u64 = 1_000_000;

/// Maximum number of lines in one period.
const LINES_MAX: u32 = 10;

/// Budget of log lines that is renewed after each period.
#[derive(Debug, Default)]
pub(super) struct LineBudget {
    renewed_at: Time,
    lines: u32,
    suppressed: u32,
}

impl LineBudget {
    /// Takes one line from the budget. Returns the number of lines that were suppressed before it,
    /// or `None` if it must be suppressed, too.
    pub(super) fn take(&mut self, now: Time) -> Option<u32> {
        if now >= self.renewed_at.plus_micros(PERIOD_MICROS) {
            self.renewed_at = now;
            self.lines = 0;
        }
        if self.lines >= LINES_MAX {
            self.suppressed += 1;
            return None;
        }
        self.lines += 1;
        Some(std::mem::take(&mut self.suppressed))
    }
}
