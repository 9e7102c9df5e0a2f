//! Changed status of an attempt.

use serde::{Deserialize, Serialize};
use toucanquay_model::session::{AttemptStatus, Phase};

/// New status of an attempt that was listed before. The fields have the meaning that they have in
/// [`AttemptStatus`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Slot of the attempt.
    pub slot: u32,
    /// Phase of the attempt.
    pub phase: Phase,
    /// The last checkpoint, if it has changed.
    pub checkpoint: Option<Option<String>>,
    /// Completed share of the work, in percent.
    pub done_percent: u8,
    /// Current measurement.
    pub gauge: u32,
    /// Lowest average of the measurement.
    pub gauge_min: u32,
    /// Allowed share of full speed, in percent.
    pub pace_percent: u8,
    /// Whether the worker has outlived the start.
    pub has_survived_start: bool,
}

impl Change {
    pub(super) fn new(slot: u32, former: &AttemptStatus, status: &AttemptStatus) -> Self {
        let is_same = former.checkpoint == status.checkpoint;
        Self {
            slot,
            phase: status.phase,
            checkpoint: (!is_same).then(|| status.checkpoint.clone()),
            done_percent: status.done_percent,
            gauge: status.gauge,
            gauge_min: status.gauge_min,
            pace_percent: status.pace_percent,
            has_survived_start: status.has_survived_start,
        }
    }

    pub(super) fn apply(self, status: &mut AttemptStatus) {
        status.phase = self.phase;
        if let Some(checkpoint) = self.checkpoint {
            status.checkpoint = checkpoint;
        }
        status.done_percent = self.done_percent;
        status.gauge = self.gauge;
        status.gauge_min = self.gauge_min;
        status.pace_percent = self.pace_percent;
        status.has_survived_start = self.has_survived_start;
    }
}
