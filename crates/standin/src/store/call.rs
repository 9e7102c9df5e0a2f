//! Kinds of calls to the store.

/// Kind of call to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Call {
    /// Read one key.
    Get,
    /// Read the keys with a prefix.
    Range,
    /// Write one key.
    Put,
    /// Delete one key.
    Delete,
    /// Grant a lease.
    Grant,
    /// Keep a lease alive.
    KeepAlive,
    /// Revoke a lease.
    Revoke,
    /// Wait for changes.
    Watch,
}

impl Call {
    /// Returns whether the call only reads.
    pub(super) const fn is_read(self) -> bool {
        matches!(self, Self::Get | Self::Range | Self::Watch)
    }
}
