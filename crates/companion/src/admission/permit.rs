//! Permission to run one request.

use std::sync::Arc;

use toucanquay_control::ledger::Outcome;
use toucanquay_model::{Time, request};

use super::AdmissionController;

/// Permission to run one request. Occupies a slot until the outcome is recorded.
///
/// Dropping the permit records the outcome as unknown.
#[derive(Debug)]
pub struct Permit {
    admission: Arc<AdmissionController>,
    id: request::Id,
    slot: usize,
    started_at: Time,
    is_finished: bool,
}

impl Permit {
    pub(super) const fn new(
        admission: Arc<AdmissionController>,
        id: request::Id,
        slot: usize,
        started_at: Time,
    ) -> Self {
        Self {
            admission,
            id,
            slot,
            started_at,
            is_finished: false,
        }
    }

    /// Returns the index of the slot that the request occupies.
    #[must_use]
    pub const fn slot(&self) -> usize {
        self.slot
    }

    /// Records the outcome and frees the slot.
    pub fn finish(mut self, outcome: Outcome) {
        self.record_outcome(outcome);
    }

    fn record_outcome(&mut self, outcome: Outcome) {
        if !self.is_finished {
            self.is_finished = true;
            self.admission
                .release(self.id, self.slot, self.started_at, outcome);
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.record_outcome(Outcome::Unknown);
    }
}
