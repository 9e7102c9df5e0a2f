//! Last observed state of the owner's key.

use toucanquay_model::{Epoch, Revision, Time};

use super::term::Term;
use crate::store::Item;

/// What the owner's key holds.
#[derive(Debug, Clone)]
pub(super) enum Holding {
    /// The key doesn't exist.
    Absent,
    /// The term of an owner.
    Term(Term),
    /// A value that isn't a term, or nothing after something else. The holder may still act.
    Odd,
    /// The entry can't be read, so that its revision is unknown.
    Unreadable,
}

/// Last observed state of the owner's key.
#[derive(Debug, Clone)]
pub(super) struct ObservedOwner {
    pub(super) holding: Holding,
    /// Revision of the key, or 0 if it is absent or unreadable.
    pub(super) revision: Revision,
    pub(super) unchanged_since: Time,
}

impl ObservedOwner {
    pub(super) fn new(holding: Holding, revision: Revision, now: Time) -> Self {
        Self {
            holding,
            revision,
            unchanged_since: now,
        }
    }

    pub(super) const fn term(&self) -> Option<&Term> {
        match &self.holding {
            Holding::Term(term) => Some(term),
            _ => None,
        }
    }

    pub(super) fn epoch(&self) -> Option<Epoch> {
        self.term().map(|term| term.epoch)
    }

    pub(super) const fn is_unreadable(&self) -> bool {
        matches!(self.holding, Holding::Unreadable)
    }
}

impl Holding {
    /// Returns what the key holds after the state that was observed before.
    pub(super) fn after(previous: Option<&ObservedOwner>, item: Option<&Item>) -> Self {
        let Some(item) = item else {
            return match previous.map(|previous| &previous.holding) {
                None | Some(Self::Absent) => Self::Absent,
                Some(_) => Self::Odd,
            };
        };
        Term::from_bytes(&item.value).map_or(Self::Odd, Self::Term)
    }
}
