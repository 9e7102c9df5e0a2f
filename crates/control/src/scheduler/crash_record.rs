//! A crash that is not acknowledged.

use smallvec::SmallVec;
use toucanquay_model::Incarnation;

use super::key::JobKey;

/// Crash of a worker that is acknowledged once its suspects are recorded.
#[derive(Debug, Clone)]
pub(super) struct CrashRecord {
    /// Incarnation of the worker that crashed.
    pub(super) worker: Incarnation,
    /// Jobs of the suspects, with the versions that must be recorded.
    pub(super) versions: SmallVec<[(JobKey, u64); 4]>,
}
