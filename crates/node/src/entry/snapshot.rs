//! Configuration that an entry holds, and how old its knowledge of it is.

use std::sync::Arc;

use bytes::Bytes;
use toucanquay_model::Time;

use crate::Configuration;

/// A configuration with the time until which it is known to be the newest one.
#[derive(Debug, Clone)]
pub(super) struct Snapshot {
    pub(super) configuration: Arc<Configuration>,
    /// Encoded form, for entries that can't read it from the store.
    pub(super) value: Bytes,
    /// Latest time at which the store is known to have held no newer configuration that can be
    /// read.
    pub(super) confirmed_at: Time,
}

impl Snapshot {
    /// Returns the age of the knowledge, in microseconds. A newer configuration may have been in
    /// the store for this long.
    pub(super) fn age_micros(&self, now: Time) -> u64 {
        now.micros_since(self.confirmed_at)
    }
}
