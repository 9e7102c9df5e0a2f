//! Conditions of writes.

use toucanquay_model::Revision;

/// Condition on the current state of a key for a write to take effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Expected {
    /// No condition.
    ///
    /// An attempt whose response was lost may overwrite a later write of another process, so this
    /// is safe only for keys with a single writer.
    Any,
    /// The key is absent.
    Absent,
    /// The last write of the key has this revision.
    Revision(Revision),
}

impl Expected {
    /// Returns the `expected` field of the protocol: 0 for an absent key, `None` for no condition.
    pub(crate) const fn to_wire(self) -> Option<Revision> {
        match self {
            Self::Any => None,
            Self::Absent => Some(0),
            Self::Revision(revision) => Some(revision),
        }
    }

    /// Returns whether a key at `revision`, or an absent key for `None`, meets the condition.
    pub(crate) fn is_met_by(self, revision: Option<Revision>) -> bool {
        match self {
            Self::Any => true,
            Self::Absent => revision.is_none(),
            Self::Revision(expected) => revision == Some(expected),
        }
    }
}
