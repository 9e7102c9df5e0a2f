//! Resource usage measured by the task runtime.

use serde::Deserialize;
use toucanquay_model::{Attempt, Time, exchange::TaskUsage, job, task};

/// Latest usage measurement of the task runtime. It lags behind the present usage.
#[derive(Debug, Deserialize)]
pub struct UsageSample {
    age_ms: Option<u64>,
    window_ms: u64,
    tasks: Vec<Row>,
}

#[derive(Debug, Deserialize)]
struct Row {
    job: String,
    index: u32,
    epoch: u64,
    number: u32,
    processors_milli: u32,
    memory_mb: u32,
}

impl UsageSample {
    /// Returns the end of the measured window, given that the measurement was requested at
    /// `called_at`. Returns `None` if there is no measurement yet.
    pub fn measured_at(&self, called_at: Time) -> Option<Time> {
        let age_micros = self.age_ms?.saturating_mul(1_000);
        let micros = called_at.as_micros().saturating_sub(age_micros);
        Some(Time::from_micros(micros))
    }

    /// Returns the usage of each attempt for a window that ended `age_micros` ago.
    pub fn into_usage(self, age_micros: u64) -> Vec<TaskUsage> {
        let window_micros = self.window_ms.saturating_mul(1_000);
        let rows = self.tasks.into_iter().map(|row| TaskUsage {
            task: task::Id::new(job::Id(row.job), row.index),
            attempt: Attempt::new(row.epoch, row.number),
            age_micros,
            window_micros,
            processors_milli: row.processors_milli,
            memory_mb: row.memory_mb,
        });
        rows.collect()
    }
}
