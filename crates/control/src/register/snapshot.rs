//! Sections to pass on.

use toucanquay_model::Revision;

use super::SectionVersion;

/// The sections newer than a revision, as one process passes them to another.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Configuration revision that the receiver holds after applying the items.
    pub revision: Revision,
    /// The sections, by rising revision. Removed ones are included.
    pub items: Vec<SectionVersion>,
}
