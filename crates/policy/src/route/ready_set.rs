//! Upstreams of one zone that have free capacity.

use super::{Key, snapshot::Snapshot};

/// Unordered set of upstreams with constant-time insertion, removal and access by index.
///
/// Each upstream stores its own position in the set.
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

    /// Adds an upstream and returns its position.
    pub(super) fn push(&mut self, snapshot: Snapshot) -> usize {
        self.snapshots.push(snapshot);
        self.snapshots.len() - 1
    }

    /// Replaces the snapshot at `position`.
    pub(super) fn replace(&mut self, position: usize, snapshot: Snapshot) {
        self.snapshots[position] = snapshot;
    }

    /// Removes the snapshot at `position` and returns the key of the upstream that moved there, if
    /// any.
    pub(super) fn remove(&mut self, position: usize) -> Option<Key> {
        self.snapshots.swap_remove(position);
        self.get(position).map(|snapshot| snapshot.key)
    }
}
