//! Upstreams of one zone that have room.

use super::Key;

/// Unordered set of keys with constant-time insertion, removal and access by index.
///
/// The holder of the keys stores the position of each one.
#[derive(Debug, Clone, Default)]
pub(super) struct Ready {
    keys: Vec<Key>,
}

impl Ready {
    pub(super) fn len(&self) -> usize {
        self.keys.len()
    }

    pub(super) fn get(&self, index: usize) -> Option<Key> {
        self.keys.get(index).copied()
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = Key> + '_ {
        self.keys.iter().copied()
    }

    /// Adds a key and returns its position.
    pub(super) fn push(&mut self, key: Key) -> usize {
        self.keys.push(key);
        self.keys.len() - 1
    }

    /// Removes the key at `position` and returns the key that took its place, if one did.
    pub(super) fn remove(&mut self, position: usize) -> Option<Key> {
        self.keys.swap_remove(position);
        self.get(position)
    }
}
