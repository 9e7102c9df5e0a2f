//! Payload of a task, which describes its simulated work.

use serde::Deserialize;

/// Simulated work of a task, parsed from its JSON payload.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(super) struct Payload {
    /// Amount of work, in milliseconds of running at full speed.
    pub(super) run_ms: u64,
    /// Reason with which the task fails after its work, if any.
    pub(super) fail: Option<String>,
    /// Measured processor usage. Defaults to the declared amount.
    pub(super) uses_processors_milli: Option<u32>,
    /// Measured memory usage. Defaults to the declared amount.
    pub(super) uses_memory_mb: Option<u32>,
}

impl Payload {
    /// Parses `text`. A malformed payload results in a task that fails immediately.
    pub(super) fn parse(text: &str) -> Self {
        serde_json::from_str(text).unwrap_or_else(|cause| Self {
            fail: Some(format!("malformed payload: {cause}")),
            ..Self::default()
        })
    }
}
