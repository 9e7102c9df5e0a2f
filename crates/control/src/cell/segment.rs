//! One segment of a cell's durable records.

use std::collections::{BTreeSet, VecDeque};

use toucanquay_model::Time;

use super::{
    effect::Effect,
    key::{JobKey, TaskKey},
};

/// Largest size of a segment in bytes. The store's limit for a value is 1 MB, and each commit
/// writes a whole segment.
pub(super) const SEGMENT_BYTES_MAX: usize = 262_144;

/// Part of a cell's durable records that is written as one value.
#[derive(Debug, Clone, Default)]
pub(super) struct Segment {
    /// Upper bound of the serialized size.
    pub(super) bytes: usize,
    pub(super) jobs: BTreeSet<JobKey>,
    pub(super) tasks: BTreeSet<TaskKey>,
    /// Number of changes so far.
    pub(super) version: u64,
    /// Last version that is known to be in the store.
    pub(super) durable_version: u64,
    /// Version that is being written.
    pub(super) in_flight: Option<u64>,
    /// Earliest time of the next write.
    pub(super) write_at: Time,
    /// Effects to apply once a version is durable, ordered by version.
    pub(super) effects: VecDeque<(u64, Effect)>,
}

impl Segment {
    pub(super) const fn has_room(&self, bytes: usize) -> bool {
        self.bytes + bytes <= SEGMENT_BYTES_MAX
    }

    /// Returns whether the segment exists in the store.
    pub(super) const fn exists(&self) -> bool {
        self.durable_version > 0
    }

    /// Returns whether there is a change to write and a write may start now.
    pub(super) fn is_due(&self, now: Time) -> bool {
        self.version > self.durable_version && self.in_flight.is_none() && now >= self.write_at
    }

    /// Records a change and applies `effect` once it is durable.
    pub(super) fn record_change(&mut self, effect: Option<Effect>) {
        self.version += 1;
        if let Some(effect) = effect {
            self.effects.push_back((self.version, effect));
        }
    }

    /// Removes and returns the effects whose version is durable.
    pub(super) fn take_effects(&mut self) -> Vec<Effect> {
        let durable_version = self.durable_version;
        let count = self
            .effects
            .iter()
            .take_while(|(version, _)| *version <= durable_version)
            .count();
        self.effects
            .drain(..count)
            .map(|(_, effect)| effect)
            .collect()
    }
}
