//! The answer to a watch.

use serde::Deserialize;

use super::WireChange;

/// Changes in order, and the revision up to which there are no others.
#[derive(Debug, Deserialize)]
pub(crate) struct WireWatch {
    pub(crate) revision: u64,
    pub(crate) events: Vec<WireChange>,
}
