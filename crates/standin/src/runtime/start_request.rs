//! Body of a call that starts a task.

use std::time::Duration;

use serde::Deserialize;
use toucanquay_model::{Attempt, Resources};

/// Task to start, with its attempt, checkpoint, resources and lease duration.
#[derive(Debug, Deserialize)]
pub(super) struct StartRequest {
    epoch: u64,
    number: u32,
    pub(super) kind: String,
    pub(super) payload: String,
    #[serde(default)]
    pub(super) checkpoint: Option<String>,
    #[serde(default)]
    processors_milli: u32,
    #[serde(default)]
    memory_mb: u32,
    #[serde(default)]
    accelerators: u32,
    lease_ms: u64,
}

impl StartRequest {
    pub(super) const fn attempt(&self) -> Attempt {
        Attempt::new(self.epoch, self.number)
    }

    pub(super) const fn resources(&self) -> Resources {
        Resources {
            processors_milli: self.processors_milli,
            memory_mb: self.memory_mb,
            accelerators: self.accelerators,
        }
    }

    pub(super) const fn lease(&self) -> Duration {
        Duration::from_millis(self.lease_ms)
    }
}
