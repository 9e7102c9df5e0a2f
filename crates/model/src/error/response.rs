//! The answer that belongs to each kind of error.

use serde::{Deserialize, Serialize};

/// Whether a refused request ran at an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Execution {
    /// It did not run and will not run.
    NotRun,
    /// It may have run, may be running or may still run.
    Unknown,
    /// It ran, but its answer did not arrive whole.
    Ran,
}

/// How one kind of error is answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Response {
    /// HTTP status code.
    pub status: u16,
    /// Exit code of a command that ends with this kind.
    pub exit_code: u8,
    /// Whether the request ran.
    pub execution: Execution,
    /// Whether the same request may succeed later.
    pub is_retryable: bool,
    /// What the caller can do.
    pub hint: &'static str,
}
