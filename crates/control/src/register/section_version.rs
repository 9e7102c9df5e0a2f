//! Versions of sections.

use toucanquay_model::Revision;

/// One team's section at a revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SectionVersion {
    /// Name of the team.
    pub team: String,
    /// Revision of the section.
    pub revision: Revision,
    /// TOML text of the section, or `None` if it was removed.
    pub text: Option<String>,
}
