//! Entry of the log of changes.

use serde::Serialize;

/// Write of a key, or its deletion if there is no value.
#[derive(Debug, Clone, Serialize)]
pub(super) struct Change {
    pub(super) key: String,
    pub(super) value: Option<String>,
    pub(super) revision: u64,
}
