//! Propagation of a revision.

use serde::{Deserialize, Serialize};
use toucanquay_model::Revision;

/// Whether all processes have applied a revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InForce {
    /// Requested revision.
    pub revision: Revision,
    /// Whether all entries and companions have applied it.
    pub is_in_force: bool,
    /// Entries and workers that have not applied it yet or can't be reached.
    pub lagging: Vec<String>,
}
