//! Crash of a worker.

use serde::{Deserialize, Serialize};

use super::Suspect;
use crate::Incarnation;

/// Crash of a worker, reported until the owner acknowledges it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Incarnation of the worker that crashed.
    pub worker: Incarnation,
    /// Attempts that may have caused the crash.
    pub suspects: Vec<Suspect>,
}
