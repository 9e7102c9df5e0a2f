//! An edit of a section and its answer.

use serde::{Deserialize, Serialize};
use toucanquay_model::Revision;

/// An edit of one section.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Edit {
    /// TOML text of the section.
    pub text: String,
    /// Revision that the edit is based on; 0 for a new section.
    pub expected: Revision,
    /// Who makes the edit.
    #[serde(default = "Edit::default_author")]
    pub author: String,
}

impl Edit {
    fn default_author() -> String {
        "unnamed".to_owned()
    }
}

/// An edit that was accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedEdit {
    /// Revision of the section.
    pub revision: Revision,
}
