//! A section as an operator sees it.

use serde::{Deserialize, Serialize};
use toucanquay_model::Revision;

/// One team's section with its revision and author.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredSection {
    /// The team.
    pub team: String,
    /// Revision of the section.
    pub revision: Revision,
    /// Who made the last edit.
    pub author: String,
    /// TOML text.
    pub text: String,
}
