//! One request in progress.

use std::sync::{Arc, atomic::Ordering};

use crate::upstream::Shared;

/// Counts a request as in progress until it is dropped.
#[derive(Debug)]
pub(super) struct Guard {
    shared: Arc<Shared>,
}

impl Guard {
    pub(super) fn new(shared: Arc<Shared>) -> Self {
        let in_flight = shared.in_flight.fetch_add(1, Ordering::Relaxed) + 1;
        let mut record = shared.lock();
        record.requests += 1;
        record.in_flight_max = record.in_flight_max.max(in_flight);
        drop(record);
        Self { shared }
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.shared.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
