//! A process that may own the cell.

use std::collections::BTreeMap;

use toucanquay_control::cell::Cell;
use toucanquay_model::Time;

use super::clock::Clock;

/// A takeover under way.
#[derive(Debug)]
pub struct Takeover {
    pub epoch: u64,
    /// When the lease was asked for.
    pub sent_at: Time,
    pub segments: Vec<(u32, String)>,
}

/// A process that may own the cell.
#[derive(Debug)]
pub struct Owner {
    pub clock: Clock,
    pub paused_until: u64,
    /// Raised when the process is replaced; answers to the old one are lost.
    pub generation: u64,
    pub cell: Option<Cell>,
    pub takeover: Option<Takeover>,
    pub segment_revisions: BTreeMap<u32, u64>,
    /// Until when it may act, by its own clock.
    pub ownership_end: Time,
    pub next_lease_call: u64,
    pub is_call_pending: bool,
    /// Incarnation of each companion by its last report.
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

    /// Loses everything, as a process that is replaced.
    pub fn reset(&mut self) {
        let generation = self.generation + 1;
        *self = Self {
            generation,
            ..Self::new(self.clock)
        };
    }
}
