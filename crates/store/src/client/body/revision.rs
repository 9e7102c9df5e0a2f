//! The response to a successful write.

use serde::Deserialize;

/// The revision of the write.
#[derive(Debug, Deserialize)]
pub(crate) struct WireRevision {
    pub(crate) revision: u64,
}
