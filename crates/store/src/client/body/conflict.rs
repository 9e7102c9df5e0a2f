//! The response to a write whose condition is not met.

use serde::Deserialize;

use super::WireItem;

/// The current item at the key, if there is one.
#[derive(Debug, Deserialize)]
pub(crate) struct WireConflict {
    pub(crate) current: Option<WireItem>,
}
