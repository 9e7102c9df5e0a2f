//! Faults that a test has injected.

use std::{collections::BTreeMap, time::Duration};

use crate::store::Call;

/// Injected faults of the store, except outages and stale reads.
#[derive(Debug, Default)]
pub(in crate::store) struct Faults {
    /// Delay of each call before it takes effect.
    pub(in crate::store) delay: Duration,
    /// Delay of each response after the call took effect.
    pub(in crate::store) response_delay: Duration,
    /// Number of responses still to be lost, by kind of call.
    pub(in crate::store) lost_responses: BTreeMap<Call, u32>,
    /// Number of times that all waiting watches have been dropped.
    pub(in crate::store) dropped_watches: u64,
}

impl Faults {
    /// Returns whether the response to this call is to be lost, and counts it as lost.
    pub(in crate::store) fn take_lost_response(&mut self, call: Call) -> bool {
        let Some(left) = self.lost_responses.get_mut(&call) else {
            return false;
        };
        let is_lost = *left > 0;
        *left = left.saturating_sub(1);
        is_lost
    }
}
