//! Orders to the fake companions, and what they saw.

use std::{collections::VecDeque, sync::Mutex};

use toucanquay_model::{Incarnation, request};

use super::Act;

/// A request that reached a fake companion.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Seen {
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
    acts: Mutex<VecDeque<Act>>,
    seen: Mutex<Vec<Seen>>,
    runs: Mutex<u32>,
}

impl Script {
    /// Orders `act` for the next request without an order. Later requests get a whole response.
    pub fn order(&self, act: Act) {
        self.acts.lock().unwrap().push_back(act);
    }

    /// Returns the requests that arrived, in order. Requests for a kept response do not count.
    pub fn seen(&self) -> Vec<Seen> {
        self.seen.lock().unwrap().clone()
    }

    /// Returns how often a request was run.
    pub fn runs(&self) -> u32 {
        *self.runs.lock().unwrap()
    }

    pub(super) fn arrive(&self, seen: Seen) -> Act {
        self.seen.lock().unwrap().push(seen);
        self.acts.lock().unwrap().pop_front().unwrap_or_default()
    }

    pub(super) fn run(&self) -> u32 {
        let mut runs = self.runs.lock().unwrap();
        *runs += 1;
        *runs
    }
}
