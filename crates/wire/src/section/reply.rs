//! Reply to a query for newer sections.

use serde::{Deserialize, Serialize};
use toucanquay_model::Revision;

use super::Item;

/// The sections newer than the requested revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// Configuration revision that the receiver holds after applying the items.
    pub revision: Revision,
    /// The sections in order of increasing revision.
    pub items: Vec<Item>,
}
