//! The answer to a write.

use serde::Deserialize;

/// Revision of the write.
#[derive(Debug, Deserialize)]
pub(crate) struct WireRevision {
    pub(crate) revision: u64,
}
