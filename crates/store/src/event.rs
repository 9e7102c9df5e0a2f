//! Events of a watch.

use toucanquay_model::Revision;

use crate::Change;

/// An event of a [`Watch`](crate::Watch).
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A key changed.
    Change(Change),
    /// The store has compacted the changes after this revision. The watch has ended; the caller
    /// must read the range again and start a new watch from its revision.
    Gap {
        /// Revision up to which the watch has delivered all changes.
        after: Revision,
    },
}
