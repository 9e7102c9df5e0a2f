//! One part of the durable records.

use std::collections::{BTreeSet, VecDeque};

use toucanquay_model::Time;

use super::{
    effect::Effect,
    key::{JobKey, TaskKey},
};

/// Most bytes of one segment. The store's limit is 1 MB, and each commit writes a whole segment.
pub(super) const SEGMENT_BYTES_MAX: usize = 262_144;

/// One part of the durable records, written as a whole.
#[derive(Debug, Clone, Default)]
pub(super) struct Segment {
    /// Upper bound of the written size.
    pub(super) bytes: usize,
    pub(super) jobs: BTreeSet<JobKey>,
    pub(super) tasks: BTreeSet<TaskKey>,
    /// Counts the changes.
    pub(super) version: u64,
    /// Version that is in the store.
    pub(super) durable: u64,
    /// Version that is being written.
    pub(super) in_flight: Option<u64>,
    /// Earliest time of the next write.
    pub(super) write_at: Time,
    /// What waits for a version to be durable, in the order of the versions.
    pub(super) effects: VecDeque<(u64, Effect)>,
}

impl Segment {
    pub(super) const fn has_room(&self, bytes: usize) -> bool {
        self.bytes + bytes <= SEGMENT_BYTES_MAX
    }

    /// Tells whether the segment exists in the store.
    pub(super) const fn exists(&self) -> bool {
        self.durable > 0
    }

    pub(super) fn is_due(&self, now: Time) -> bool {
        self.version > self.durable && self.in_flight.is_none() && now >= self.write_at
    }

    /// Notes a change that `effect` waits for.
    pub(super) fn record_change(&mut self, effect: Option<Effect>) {
        self.version += 1;
        if let Some(effect) = effect {
            self.effects.push_back((self.version, effect));
        }
    }

    /// Takes the effects of the versions up to the durable one.
    pub(super) fn take_effects(&mut self) -> Vec<Effect> {
        let durable = self.durable;
        let count = self
            .effects
            .iter()
            .take_while(|(version, _)| *version <= durable)
            .count();
        self.effects
            .drain(..count)
            .map(|(_, effect)| effect)
            .collect()
    }
}
