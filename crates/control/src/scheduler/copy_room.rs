//! Room of a pool for copies.

/// Share of a pool's processors that copies may occupy, in percent.
const POOL_PERCENT_MAX: u64 = 5;

/// Processors of a pool for copies, in thousandths.
#[derive(Debug, Clone, Copy)]
pub(super) struct CopyRoom {
    max_milli: u64,
    occupied_milli: u64,
}

impl CopyRoom {
    /// Returns the room in a pool with some copies.
    pub(super) const fn new(capacity_milli: u64, occupied_milli: u64) -> Self {
        Self {
            max_milli: capacity_milli * POOL_PERCENT_MAX / 100,
            occupied_milli,
        }
    }

    /// Returns whether one more copy may be started. A single one always may.
    pub(super) const fn allows(self, milli: u64) -> bool {
        self.occupied_milli == 0 || self.occupied_milli + milli <= self.max_milli
    }

    /// Counts a copy.
    pub(super) const fn occupy(&mut self, milli: u64) {
        self.occupied_milli += milli;
    }
}
