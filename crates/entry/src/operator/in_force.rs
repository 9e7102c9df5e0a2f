//! Whether a revision is in force.

use serde::{Deserialize, Serialize};
use toucanquay_model::Revision;

/// Whether every process holds a revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InForce {
    /// The revision that was asked for.
    pub revision: Revision,
    /// Whether every entry and companion holds it.
    pub is_in_force: bool,
    /// Entries and workers that do not hold it yet or can't be reached.
    pub lagging: Vec<String>,
}
