//! One section with its revision.

use toucanquay_model::Revision;

/// One team's section at a revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SectionVersion {
    /// The team.
    pub team: String,
    /// Revision of the section.
    pub revision: Revision,
    /// TOML text of the section; none when it was removed.
    pub text: Option<String>,
}
