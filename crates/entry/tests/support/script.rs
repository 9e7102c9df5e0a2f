//! Scripted behavior of the fake companions, and the requests they received.

use std::{collections::VecDeque, sync::Mutex};

use toucanquay_model::{Incarnation, request};

use super::Behavior;

/// A request received by a fake companion.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReceivedRequest {
    pub worker: String,
    pub id: request::Id,
    pub incarnation: Incarnation,
}

/// Scripted behavior of all fake companions of a cluster, and the requests they received.
///
/// A behavior applies to the next request at any companion, so that a test does not depend on which
/// one the entry picks.
#[derive(Debug, Default)]
pub struct Script {
    behaviors: Mutex<VecDeque<Behavior>>,
    received: Mutex<Vec<ReceivedRequest>>,
    runs: Mutex<u32>,
}

impl Script {
    /// Queues `behavior` for one request. Requests beyond the queue get a complete response.
    pub fn queue_behavior(&self, behavior: Behavior) {
        self.behaviors.lock().unwrap().push_back(behavior);
    }

    /// Returns the received requests in order, without those that got a stored response.
    pub fn received(&self) -> Vec<ReceivedRequest> {
        self.received.lock().unwrap().clone()
    }

    /// Returns the number of runs of requests.
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
