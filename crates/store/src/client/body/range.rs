//! The answer to a range.

use serde::Deserialize;

use super::WireItem;

/// Items and the revision that they were read at.
#[derive(Debug, Deserialize)]
pub(crate) struct WireRange {
    pub(crate) revision: u64,
    pub(crate) items: Vec<WireItem>,
}
