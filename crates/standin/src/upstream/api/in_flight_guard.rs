//! Guard that counts a request in progress.

use std::sync::{Arc, atomic::Ordering};

use crate::upstream::SharedState;

/// Counts a request as in progress until the guard is dropped.
#[derive(Debug)]
pub(super) struct InFlightGuard {
    shared: Arc<SharedState>,
}

impl InFlightGuard {
    pub(super) fn new(shared: Arc<SharedState>) -> Self {
        let in_flight = shared.in_flight.fetch_add(1, Ordering::Relaxed) + 1;
        let mut state = shared.lock();
        state.requests += 1;
        state.in_flight_max = state.in_flight_max.max(in_flight);
        drop(state);
        Self { shared }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.shared.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
