//! The answer to a failed comparison.

use serde::Deserialize;

use super::WireItem;

/// What is at the key instead.
#[derive(Debug, Deserialize)]
pub(crate) struct WireConflict {
    pub(crate) current: Option<WireItem>,
}
