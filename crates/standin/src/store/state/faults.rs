//! Faults that a test has switched on.

use std::{collections::BTreeMap, time::Duration};

use crate::store::Call;

/// Faults of the store besides outage and stale reads.
#[derive(Debug, Default)]
pub(in crate::store) struct Faults {
    pub(in crate::store) delay: Duration,
    pub(in crate::store) response_delay: Duration,
    pub(in crate::store) lost_responses: BTreeMap<Call, u32>,
    pub(in crate::store) dropped_watches: u64,
}

impl Faults {
    /// Tells whether the answer to this call is lost, and counts it.
    pub(in crate::store) fn take_lost_response(&mut self, call: Call) -> bool {
        let Some(left) = self.lost_responses.get_mut(&call) else {
            return false;
        };
        let is_lost = *left > 0;
        *left = left.saturating_sub(1);
        is_lost
    }
}
