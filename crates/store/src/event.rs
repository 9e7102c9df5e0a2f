//! What a watch yields.

use toucanquay_model::Revision;

use crate::Change;

/// The next thing that a watch has to tell.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A key changed.
    Change(Change),
    /// The store no longer keeps the changes after this revision. The watch has ended; the caller
    /// reads the range and watches from its revision.
    Gap {
        /// Revision that the watch had reached.
        after: Revision,
    },
}
