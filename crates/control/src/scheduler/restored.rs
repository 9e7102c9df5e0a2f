//! What is known of a job at takeover.

use toucanquay_model::{Revision, graph::Progress};

/// Durable progress of a job.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RestoredJob {
    /// The recorded progress; the default if there is no record.
    pub progress: Progress,
    /// Revision of the record; 0 if there is none.
    pub revision: Revision,
}
