//! What a task does.

use serde::Deserialize;

/// The work of a task, as its JSON payload gives it.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(super) struct Payload {
    /// Work to do, in milliseconds at full share.
    pub(super) run_ms: u64,
    /// Error to end with after the work.
    pub(super) fail: Option<String>,
    /// Use of processors that is measured; the declared amount by default.
    pub(super) uses_processors_milli: Option<u32>,
    /// Use of memory that is measured; the declared amount by default.
    pub(super) uses_memory_mb: Option<u32>,
}

impl Payload {
    /// Parses `text`; a malformed payload becomes a task that fails at once.
    pub(super) fn parse(text: &str) -> Self {
        serde_json::from_str(text).unwrap_or_else(|cause| Self {
            fail: Some(format!("malformed payload: {cause}")),
            ..Self::default()
        })
    }
}
