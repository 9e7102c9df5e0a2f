//! Changes of the stored jobs.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use toucanquay_model::graph::Id;

/// Change of the stored jobs that a client asks for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Store a job unless its identifier is in use.
    Submit {
        /// Identifier that the client chose for the job.
        id: Id,
        /// Record of the job in the store.
        record: Bytes,
    },
    /// Cancel a job or, if none is stored, prevent that a submission on its way is.
    Cancel(Id),
}

impl Change {
    /// Returns the identifier of the job.
    #[must_use]
    pub const fn id(&self) -> Id {
        match self {
            Self::Submit { id, .. } | Self::Cancel(id) => *id,
        }
    }
}
