//! State of one request id.

use std::sync::Arc;

use toucanquay_model::request::Verdict;

use super::{Decision, Response};

/// State of one request id.
#[derive(Debug, Clone)]
pub(super) enum Record {
    /// The request is running.
    Running { is_keyed: bool },
    /// The request has finished.
    Finished { response: Option<Arc<Response>> },
    /// The request may have run.
    Unknown,
    /// The request has not run and is refused.
    Tombstoned,
}

impl Record {
    /// Returns the decision on a request that arrives again with this id.
    pub(super) fn decision(&self) -> Decision {
        match self {
            Self::Running { .. } => Decision::Running,
            Self::Finished { response, .. } => {
                response.as_ref().map_or(Decision::Finished, |response| {
                    Decision::Replay(response.clone())
                })
            }
            Self::Unknown => Decision::Unknown,
            Self::Tombstoned => Decision::Tombstoned,
        }
    }

    /// Returns the answer to a tombstone for this id.
    pub(super) const fn verdict(&self) -> Verdict {
        match self {
            Self::Running { .. } => Verdict::Running,
            Self::Finished { .. } => Verdict::Finished,
            Self::Unknown => Verdict::Unknown,
            Self::Tombstoned => Verdict::NotRun,
        }
    }

    /// Returns the size of the retained response, in bytes.
    pub(super) fn size_bytes(&self) -> usize {
        match self {
            Self::Finished {
                response: Some(response),
                ..
            } => response.size_bytes(),
            _ => 0,
        }
    }
}
