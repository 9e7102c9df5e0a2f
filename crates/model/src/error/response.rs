//! How an error kind is reported to a caller.

use serde::{Deserialize, Serialize};

/// Whether the upstream executed a request that ended in an error.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Execution {
    /// It was not executed and will not be.
    NotRun,
    /// It may have been executed, may be in progress or may still be executed.
    Unknown,
    /// It was executed, but its response was not received completely.
    Ran,
}

/// How an error kind is reported to a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Response {
    /// HTTP status code.
    pub status: u16,
    /// Exit code of a command that fails with this kind.
    pub exit_code: u8,
    /// Whether the request was executed.
    pub execution: Execution,
    /// Whether the same request may succeed later.
    pub is_retryable: bool,
    /// What the caller can do about the error.
    pub hint: &'static str,
}
