//! Query for newer sections.

use serde::{Deserialize, Serialize};
use toucanquay_model::Revision;

/// Requests all sections newer than a revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Query {
    /// Configuration revision that the sender holds.
    pub after: Revision,
}
