//! Fake task runtime, which determines what a worker actually runs.

use std::collections::BTreeMap;

use toucanquay_control::agent::{ListedAttempt, Outcome};
use toucanquay_model::{Attempt, Resources, Time, exchange::Grant, exchange::TaskState, task};

/// Identifies one attempt of a task.
pub type AttemptKey = (task::Id, Attempt);

/// Attempt that a runtime has accepted and not yet forgotten.
#[derive(Debug, Clone)]
pub struct AttemptRecord {
    pub demand: Resources,
    /// Lease deadline, by the host's clock.
    pub deadline: Time,
    pub state: TaskState,
    /// Work done by earlier attempts, as read from the checkpoint.
    pub progress_before: u64,
    /// Simulated time of the start.
    pub started_at: u64,
}

/// Attempts on one worker.
#[derive(Debug, Clone, Default)]
pub struct Runtime {
    pub attempts: BTreeMap<AttemptKey, AttemptRecord>,
}

impl Runtime {
    /// Returns the attempts that hold resources.
    pub fn running(&self) -> impl Iterator<Item = (&AttemptKey, &AttemptRecord)> {
        self.attempts
            .iter()
            .filter(|(_, record)| record.state.holds_resources())
    }

    /// Returns the total demand of the running attempts.
    pub fn used_resources(&self) -> Resources {
        self.running()
            .fold(Resources::ZERO, |sum, (_, record)| sum.plus(&record.demand))
    }

    /// Starts an attempt unless its lease has expired or the attempt is known already. Returns
    /// whether it was started.
    pub fn start(&mut self, grant: &Grant, deadline: Time, local_time: Time, now: u64) -> bool {
        let key = (grant.task.clone(), grant.attempt);
        if local_time >= deadline || self.attempts.contains_key(&key) {
            return false;
        }
        let checkpoint = grant.checkpoint.as_deref().unwrap_or("0");
        let record = AttemptRecord {
            demand: grant.demand,
            deadline,
            state: TaskState::Running,
            progress_before: checkpoint.parse().expect("a checkpoint is a number"),
            started_at: now,
        };
        self.attempts.insert(key, record);
        true
    }

    /// Stops the attempts whose lease deadline has passed, and returns them.
    pub fn expire(&mut self, local_time: Time) -> Vec<AttemptKey> {
        let mut ended = Vec::new();
        for (key, record) in &mut self.attempts {
            if record.state.holds_resources() && local_time >= record.deadline {
                record.state = TaskState::Stopped { checkpoint: None };
                ended.push(key.clone());
            }
        }
        ended
    }

    /// Returns what the companion learns about an attempt from a call sent at `called_at`.
    pub fn outcome(&self, key: &AttemptKey, called_at: Time) -> Outcome {
        match self.attempts.get(key).map(|record| record.state.clone()) {
            None | Some(TaskState::Refused { .. }) => Outcome::Absent { called_at },
            Some(TaskState::Stopped { checkpoint }) => Outcome::Stopped { checkpoint },
            Some(TaskState::Finished) => Outcome::Finished,
            Some(TaskState::Failed { reason }) => Outcome::Failed { reason },
            Some(_) => Outcome::Started,
        }
    }

    /// Returns every attempt, also those that have ended.
    pub fn list(&self) -> Vec<ListedAttempt> {
        self.attempts
            .iter()
            .map(|((task, attempt), record)| ListedAttempt {
                task: task.clone(),
                attempt: *attempt,
                demand: record.demand,
                deadline: record.deadline,
                state: record.state.clone(),
            })
            .collect()
    }
}
