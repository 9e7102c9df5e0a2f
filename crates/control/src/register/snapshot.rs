//! Snapshots of sections.

use toucanquay_model::Revision;

use super::SectionVersion;

/// The sections newer than a revision, as one process passes them to another.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Configuration revision that the receiver holds after it has applied the items.
    pub revision: Revision,
    /// The sections in ascending order of revision, including removed ones.
    pub items: Vec<SectionVersion>,
}
