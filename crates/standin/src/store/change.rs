//! Entries of the change log.

use serde::Serialize;

/// A write or, without a value, a deletion.
#[derive(Debug, Clone, Serialize)]
pub(super) struct Change {
    pub(super) key: String,
    pub(super) value: Option<String>,
    pub(super) revision: u64,
}
