//! A job as submitted by a client.

use serde::{Deserialize, Serialize};

use super::{Schedule, Step};
use crate::{Error, ErrorKind};

/// Maximum number of steps of a job.
pub const STEPS_MAX: usize = 256;

/// Maximum number of tasks of a job over all steps and occurrences.
const TASKS_MAX: u64 = 100_000;

/// Maximum size of a payload, in bytes.
const PAYLOAD_BYTES_MAX: usize = 16_384;

/// A graph of steps, and the payload passed to their tasks.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Job {
    /// Opaque text passed to each task.
    #[serde(default)]
    pub payload: String,
    /// Steps in topological order: each one depends on earlier ones only.
    pub steps: Vec<Step>,
    /// Times at which the job runs. Without a schedule, it runs once, immediately.
    #[serde(default)]
    pub schedule: Option<Schedule>,
}

impl Job {
    /// Returns how many times the job runs.
    #[must_use]
    pub fn occurrences(&self) -> u32 {
        self.schedule
            .map_or(1, |schedule| schedule.occurrences.max(1))
    }

    /// Returns whether any step runs until the job is cancelled.
    #[must_use]
    pub fn is_perpetual(&self) -> bool {
        self.steps.iter().any(|step| step.is_perpetual)
    }

    /// Returns whether any step uses only processors that other tasks leave idle.
    #[must_use]
    pub fn uses_idle(&self) -> bool {
        self.steps.iter().any(|step| step.uses_idle)
    }

    /// Returns the length of the critical path by estimated run times, in milliseconds.
    #[must_use]
    pub fn critical_path_ms(&self) -> u64 {
        let mut finish_ms: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let dependency_finish_ms = step
                .after
                .iter()
                .filter_map(|index| finish_ms.get(usize::from(*index)));
            let start_ms = dependency_finish_ms.max().copied().unwrap_or(0);
            finish_ms.push(start_ms.saturating_add(step.estimate_ms));
        }
        finish_ms.into_iter().max().unwrap_or(0)
    }

    /// Validates a job submitted by a client.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::InvalidField`] with the first invalid field.
    pub fn check(&self) -> Result<(), Error> {
        if self.payload.len() > PAYLOAD_BYTES_MAX {
            return Err(Error::new(ErrorKind::InvalidField)
                .field("payload")
                .value(format!("{} bytes", self.payload.len()))
                .expected(format!("at most {PAYLOAD_BYTES_MAX} bytes")));
        }
        if self.steps.is_empty() || self.steps.len() > STEPS_MAX {
            return Err(Error::new(ErrorKind::InvalidField)
                .field("steps")
                .value(self.steps.len())
                .expected(format!("1 to {STEPS_MAX} steps")));
        }
        let tasks: u64 = self.steps.iter().map(|step| u64::from(step.tasks)).sum();
        if tasks.saturating_mul(u64::from(self.occurrences())) > TASKS_MAX {
            return Err(Error::new(ErrorKind::InvalidField)
                .field("tasks")
                .value(tasks)
                .expected(format!("at most {TASKS_MAX} over all occurrences")));
        }
        (0..)
            .zip(&self.steps)
            .try_for_each(|(index, step)| check_step(index, step))
    }
}

fn check_step(index: u16, step: &Step) -> Result<(), Error> {
    if step.tasks == 0 {
        return Err(Error::new(ErrorKind::InvalidField)
            .field(format!("steps[{index}].tasks"))
            .value(0)
            .expected("1 or more"));
    }
    if let Some(invalid) = step.after.iter().find(|dependency| **dependency >= index) {
        return Err(Error::new(ErrorKind::InvalidField)
            .field(format!("steps[{index}].after"))
            .value(invalid)
            .expected("indices of earlier steps"));
    }
    Ok(())
}
