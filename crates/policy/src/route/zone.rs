//! Availability zones.

/// An availability zone, numbered by the [`Router`](super::Router) that named it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Zone(pub(super) u16);

impl Zone {
    pub(super) const fn index(self) -> usize {
        self.0 as usize
    }
}
