//! Upstreams of one zone that have room.

use super::{Key, snapshot::Snapshot};

/// Unordered set of candidates with constant-time insertion, removal and access by index.
///
/// Each candidate stores its own position.
#[derive(Debug, Clone, Default)]
pub(super) struct ReadySet {
    snapshots: Vec<Snapshot>,
}

impl ReadySet {
    pub(super) fn len(&self) -> usize {
        self.snapshots.len()
    }

    pub(super) fn get(&self, index: usize) -> Option<&Snapshot> {
        self.snapshots.get(index)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Snapshot> {
        self.snapshots.iter()
    }

    /// Adds a candidate and returns its position.
    pub(super) fn push(&mut self, snapshot: Snapshot) -> usize {
        self.snapshots.push(snapshot);
        self.snapshots.len() - 1
    }

    /// Brings the candidate at `position` up to date.
    pub(super) fn replace(&mut self, position: usize, snapshot: Snapshot) {
        self.snapshots[position] = snapshot;
    }

    /// Removes the candidate at `position` and returns the one that took its place, if one did.
    pub(super) fn remove(&mut self, position: usize) -> Option<Key> {
        self.snapshots.swap_remove(position);
        self.get(position).map(|snapshot| snapshot.key)
    }
}
