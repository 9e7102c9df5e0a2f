//! Orders to the fake companions, and what they saw.

use std::{collections::VecDeque, sync::Mutex};

use toucanquay_model::{Incarnation, request};

use super::Behavior;

/// A request that reached a fake companion.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReceivedRequest {
    pub worker: String,
    pub id: request::Id,
    pub incarnation: Incarnation,
}

/// Orders to all fake companions of a site, and what they saw.
///
/// The order belongs to the next request at any of them, so that a test does not depend on which
/// one the entry picks.
#[derive(Debug, Default)]
pub struct Script {
    behaviors: Mutex<VecDeque<Behavior>>,
    received: Mutex<Vec<ReceivedRequest>>,
    runs: Mutex<u32>,
}

impl Script {
    /// Orders `act` for the next request without an order. Later requests get a whole response.
    pub fn queue_behavior(&self, behavior: Behavior) {
        self.behaviors.lock().unwrap().push_back(behavior);
    }

    /// Returns the requests that arrived, in order. Requests for a kept response do not count.
    pub fn received(&self) -> Vec<ReceivedRequest> {
        self.received.lock().unwrap().clone()
    }

    /// Returns how often a request was run.
    pub fn runs(&self) -> u32 {
        *self.runs.lock().unwrap()
    }

    pub(super) fn next_behavior(&self, received: ReceivedRequest) -> Behavior {
        self.received.lock().unwrap().push(received);
        self.behaviors
            .lock()
            .unwrap()
            .pop_front()
            .unwrap_or_default()
    }

    pub(super) fn record_run(&self) -> u32 {
        let mut runs = self.runs.lock().unwrap();
        *runs += 1;
        *runs
    }
}
