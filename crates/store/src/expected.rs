//! Conditions of writes.

use toucanquay_model::Revision;

/// What must be at the key for a write to take effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Expected {
    /// Anything or nothing.
    ///
    /// An attempt whose answer was lost may take effect after a later write of another process, so
    /// this suits only keys with a single writer.
    Any,
    /// Nothing.
    Absent,
    /// The value that was written at this revision.
    Revision(Revision),
}

impl Expected {
    /// Returns the revision as the protocol has it: 0 for an absent key, `None` for any.
    pub(crate) const fn to_wire(self) -> Option<Revision> {
        match self {
            Self::Any => None,
            Self::Absent => Some(0),
            Self::Revision(revision) => Some(revision),
        }
    }

    /// Tells whether a key with this revision, or an absent one, meets the condition.
    pub(crate) fn is_met_by(self, revision: Option<Revision>) -> bool {
        match self {
            Self::Any => true,
            Self::Absent => revision.is_none(),
            Self::Revision(expected) => revision == Some(expected),
        }
    }
}
