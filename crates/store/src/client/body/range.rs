//! The response to a range read.

use serde::Deserialize;

use super::{Entries, WireItem};

/// Items and the revision at which they were read.
#[derive(Debug, Deserialize)]
pub(crate) struct WireRange {
    pub(crate) revision: u64,
    pub(crate) items: Entries<WireItem>,
}
