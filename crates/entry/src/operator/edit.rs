//! Edits of sections.

use serde::{Deserialize, Serialize};
use toucanquay_model::Revision;

/// Edit of one section.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Edit {
    /// TOML text of the section.
    pub text: String,
    /// Revision that the edit is based on, or 0 for a new section.
    pub expected: Revision,
    /// Author of the edit.
    #[serde(default = "Edit::default_author")]
    pub author: String,
}

impl Edit {
    fn default_author() -> String {
        "unnamed".to_owned()
    }
}

/// Response to an accepted edit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedEdit {
    /// New revision of the section.
    pub revision: Revision,
}
