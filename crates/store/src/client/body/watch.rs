//! The response to a watch.

use serde::Deserialize;

use super::{Entries, WireChange};

/// Changes in revision order, and the revision up to which they are complete.
#[derive(Debug, Deserialize)]
pub(crate) struct WireWatch {
    pub(crate) revision: u64,
    pub(crate) events: Entries<WireChange>,
}
