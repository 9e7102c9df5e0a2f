//! A fake task runtime: the ground truth of what a worker runs.

use std::collections::BTreeMap;

use toucanquay_control::agent::{ListedAttempt, Outcome};
use toucanquay_model::{Attempt, Resources, Time, exchange::Grant, exchange::TaskState, task};

pub type Key = (task::Id, Attempt);

/// One attempt that a runtime knows.
#[derive(Debug, Clone)]
pub struct Held {
    pub demand: Resources,
    pub deadline: Time,
    pub state: TaskState,
    /// Work done by earlier attempts, by the checkpoint.
    pub progress_before: u64,
    pub started_at: u64,
}

/// What a worker runs.
#[derive(Debug, Clone, Default)]
pub struct Runtime {
    pub held: BTreeMap<Key, Held>,
}

impl Runtime {
    pub fn running(&self) -> impl Iterator<Item = (&Key, &Held)> {
        self.held
            .iter()
            .filter(|(_, held)| held.state.holds_resources())
    }

    pub fn used(&self) -> Resources {
        self.running()
            .fold(Resources::ZERO, |sum, (_, held)| sum.plus(&held.demand))
    }

    /// Starts an attempt unless its lease has ended; returns whether it is new.
    pub fn start(&mut self, grant: &Grant, deadline: Time, local: Time, now: u64) -> bool {
        let key = (grant.task.clone(), grant.attempt);
        if local >= deadline || self.held.contains_key(&key) {
            return false;
        }
        let checkpoint = grant.checkpoint.as_deref().unwrap_or("0");
        let held = Held {
            demand: grant.demand,
            deadline,
            state: TaskState::Running,
            progress_before: checkpoint.parse().expect("checkpoint is a number"),
            started_at: now,
        };
        self.held.insert(key, held);
        true
    }

    /// Ends the tasks whose lease deadline has passed.
    pub fn expire(&mut self, local: Time) -> Vec<Key> {
        let mut ended = Vec::new();
        for (key, held) in &mut self.held {
            if held.state.holds_resources() && local >= held.deadline {
                held.state = TaskState::Stopped { checkpoint: None };
                ended.push(key.clone());
            }
        }
        ended
    }

    pub fn outcome(&self, key: &Key, called_at: Time) -> Outcome {
        match self.held.get(key).map(|held| held.state.clone()) {
            None | Some(TaskState::Refused { .. }) => Outcome::Absent { called_at },
            Some(TaskState::Stopped { checkpoint }) => Outcome::Stopped { checkpoint },
            Some(TaskState::Finished) => Outcome::Finished,
            Some(TaskState::Failed { reason }) => Outcome::Failed { reason },
            Some(_) => Outcome::Started,
        }
    }

    pub fn list(&self) -> Vec<ListedAttempt> {
        self.held
            .iter()
            .map(|((task, attempt), held)| ListedAttempt {
                task: task.clone(),
                attempt: *attempt,
                demand: held.demand,
                deadline: held.deadline,
                state: held.state.clone(),
            })
            .collect()
    }
}
