//! Recorded progress of a job, as loaded at takeover.

use toucanquay_model::{Revision, graph::Progress};

/// Recorded progress of a job, with the revision of its record.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RestoredJob {
    /// The recorded progress; the default if there is no record.
    pub progress: Progress,
    /// Revision of the record; 0 if there is none.
    pub revision: Revision,
}
