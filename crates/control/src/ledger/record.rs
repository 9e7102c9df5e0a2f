//! State of one request id.

use std::sync::Arc;

use toucanquay_model::request::Verdict;

use super::{Decision, Response};

/// State of one request id.
#[derive(Debug, Clone)]
pub(super) enum Record {
    /// It runs.
    Running { is_keyed: bool },
    /// It has run to its end.
    Finished { response: Option<Arc<Response>> },
    /// It may have run.
    Unknown,
    /// It has not run and is refused.
    Tombstoned,
}

impl Record {
    /// Returns what follows when a request with this id arrives again.
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

    /// Returns the verdict on a tombstone for this id.
    pub(super) const fn verdict(&self) -> Verdict {
        match self {
            Self::Running { .. } => Verdict::Running,
            Self::Finished { .. } => Verdict::Finished,
            Self::Unknown => Verdict::Unknown,
            Self::Tombstoned => Verdict::NotRun,
        }
    }

    /// Returns the bytes of the response that it keeps.
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
