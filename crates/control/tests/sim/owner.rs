//! Process that can become the owner of the cell.

use std::collections::BTreeMap;

use toucanquay_control::cell::Cell;
use toucanquay_model::Time;

use super::clock::Clock;

/// Takeover in progress.
#[derive(Debug)]
pub struct Takeover {
    pub epoch: u64,
    /// When the owner lease was requested, by the process's clock.
    pub sent_at: Time,
    /// Numbers and texts of the segments whose epoch has been raised.
    pub segments: Vec<(u32, String)>,
}

/// Simulated process that can become the owner of the cell.
#[derive(Debug)]
pub struct Owner {
    pub clock: Clock,
    /// Simulated time until which the process is paused.
    pub paused_until: u64,
    /// Incremented when the process is replaced. Responses to an earlier generation are lost.
    pub generation: u64,
    /// State machine of the owner, or `None` while the process does not own the cell.
    pub cell: Option<Cell>,
    pub takeover: Option<Takeover>,
    /// Store revision of each segment at its last known write.
    pub segment_revisions: BTreeMap<u32, u64>,
    /// End of the period in which the process may act as owner, by its own clock.
    pub ownership_end: Time,
    /// Simulated time before which no call is made to acquire the ownership or keep it.
    pub next_lease_call: u64,
    /// Whether such a call awaits its response.
    pub is_call_pending: bool,
    /// Incarnation in the last accepted report of each worker's companion, by worker.
    pub incarnations: BTreeMap<String, u64>,
}

impl Owner {
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            paused_until: 0,
            generation: 0,
            cell: None,
            takeover: None,
            segment_revisions: BTreeMap::new(),
            ownership_end: Time::ZERO,
            next_lease_call: 0,
            is_call_pending: false,
            incarnations: BTreeMap::new(),
        }
    }

    /// Discards all state except the clock, as when the process is replaced.
    pub fn reset(&mut self) {
        let generation = self.generation + 1;
        *self = Self {
            generation,
            ..Self::new(self.clock)
        };
    }
}
