//! A section with its revision.

use serde::{Deserialize, Serialize};
use toucanquay_model::Revision;

/// A team's section at a revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// Name of the team that the section belongs to.
    pub team: String,
    /// Revision of the section.
    pub revision: Revision,
    /// TOML text of the section; `None` if it was removed.
    pub text: Option<String>,
}
