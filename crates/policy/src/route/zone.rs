//! Availability zones.

/// Index of an availability zone within a [`Router`](super::Router).
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Zone(pub(super) u16);

impl Zone {
    pub(super) const fn index(self) -> usize {
        self.0 as usize
    }
}
