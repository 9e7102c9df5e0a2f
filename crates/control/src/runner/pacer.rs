//! Pace of the tasks that use idle processors, by the latency of those beside them.

use toucanquay_model::Time;

/// Latency above this share of its target slows the others sharply, in percent.
const PRESSURE_HIGH_PERCENT: u32 = 100;

/// Latency above this share of its target slows the others, in percent.
const PRESSURE_MEDIUM_PERCENT: u32 = 90;

/// Latency below this share of its target lets the others speed up, in percent.
const PRESSURE_LOW_PERCENT: u32 = 80;

/// Pace below which a task is paused, in percent.
const PACE_MIN_PERCENT: u8 = 10;

/// Step by which the pace grows, in percent.
const PACE_STEP_PERCENT: u8 = 15;

/// Least time between two changes, in microseconds: reports cover the last half second.
const CHANGE_MICROS: u64 = 450_000;

/// Multiplicative decrease and additive increase of a pace.
///
/// It answers a load whose interference changes within seconds: a slow-down takes effect within
/// one report, and speed returns in small steps.
#[derive(Debug)]
pub(super) struct Pacer {
    percent: u8,
    change_at: Time,
}

impl Default for Pacer {
    fn default() -> Self {
        Self {
            percent: 100,
            change_at: Time::ZERO,
        }
    }
}

impl Pacer {
    /// Takes the highest latency as a share of its target, in percent, and returns the pace.
    pub(super) fn observe(&mut self, worst: Option<u32>, now: Time) -> u8 {
        let Some(worst) = worst else {
            self.percent = 100;
            return self.percent;
        };
        if now < self.change_at {
            return self.percent;
        }
        let next = match worst {
            PRESSURE_HIGH_PERCENT.. => self.percent / 3,
            PRESSURE_MEDIUM_PERCENT.. => self.percent / 4 * 3,
            PRESSURE_LOW_PERCENT.. => self.percent,
            _ => self.percent.saturating_add(PACE_STEP_PERCENT).min(100),
        };
        let next = if next < PACE_MIN_PERCENT { 0 } else { next };
        if next != self.percent {
            self.percent = next;
            self.change_at = now.plus_micros(CHANGE_MICROS);
        }
        self.percent
    }
}
