//! Stored sections.

use serde::{Deserialize, Serialize};
use toucanquay_model::Revision;

/// Section of one team with its revision and author.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredSection {
    /// Name of the team.
    pub team: String,
    /// Revision of the section.
    pub revision: Revision,
    /// Author of the last edit.
    pub author: String,
    /// TOML text of the section.
    pub text: String,
}
