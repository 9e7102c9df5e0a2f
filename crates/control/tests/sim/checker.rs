//! Checks of the invariants against the task runtimes and the store.

use std::collections::{BTreeMap, BTreeSet};

use serde_json::Value;
use toucanquay_model::{
    Attempt,
    exchange::{Command, Report, TaskState},
    job, task,
};

use super::{counts::FaultCounts, runtime::AttemptKey, store::Store};

/// Records what was acknowledged, granted, started and ended, and checks the invariants against it.
#[derive(Debug, Default)]
pub struct InvariantChecker {
    /// Jobs whose submission was acknowledged.
    pub accepted: BTreeSet<job::Id>,
    /// Jobs whose cancellation was acknowledged.
    pub cancelled: BTreeSet<job::Id>,
    /// Highest attempt of each task that an owner has sent a grant for.
    pub granted: BTreeMap<task::Id, Attempt>,
    started: BTreeSet<AttemptKey>,
    /// Final state of each ended attempt at its runtime.
    pub ends: BTreeMap<AttemptKey, TaskState>,
    /// Attempts that a report has listed as ended.
    reported_ends: BTreeSet<AttemptKey>,
    /// Revision of the store and number of acknowledged calls at the last check of the store.
    last_checked: (u64, usize),
    /// Number of finished tasks of each job at the last check of the store.
    finished_counts: BTreeMap<String, u32>,
}

impl InvariantChecker {
    /// Checks that an attempt starts only once, and not after the cancellation of its job was
    /// acknowledged.
    pub fn check_start(&mut self, key: &AttemptKey) {
        assert!(
            !self.cancelled.contains(&key.0.job),
            "cancelled-job-started: {} {}",
            key.0,
            key.1
        );
        assert!(
            self.started.insert(key.clone()),
            "attempt-started-twice: {} {}",
            key.0,
            key.1
        );
    }

    /// Counts refused grants and repeatedly reported ends in a report.
    pub fn count_report(&mut self, report: &Report, counts: &mut FaultCounts) {
        for task_report in &report.tasks {
            if matches!(task_report.state, TaskState::Refused { .. }) {
                counts.increment("grant refused");
            } else if !task_report.state.holds_resources()
                && !self
                    .reported_ends
                    .insert((task_report.task.clone(), task_report.attempt))
            {
                counts.increment("end reported again");
            }
        }
    }

    /// Checks that each grant carries the newest durable checkpoint and is for an unfinished task,
    /// and that each acknowledged end is durable.
    pub fn check_command(&mut self, command: &Command, store: &Store, counts: &mut FaultCounts) {
        if command.grants.is_empty() && command.acknowledged.is_empty() {
            return;
        }
        let stored = StoredState::parse(store);
        for grant in &command.grants {
            let id = (grant.task.job.0.clone(), grant.task.index);
            let newest = stored.records.get(&id).and_then(|(_, text)| text.clone());
            assert_eq!(
                grant.checkpoint, newest,
                "resumed-from-old-checkpoint: {} {}",
                grant.task, grant.attempt
            );
            assert!(
                !stored.is_finished(&grant.task),
                "finished-task-granted: {} {}",
                grant.task,
                grant.attempt
            );
            if newest.is_some() {
                counts.increment("resumed from a checkpoint");
            }
            let highest = self.granted.entry(grant.task.clone()).or_default();
            *highest = (*highest).max(grant.attempt);
        }
        for (task, attempt) in &command.acknowledged {
            let is_superseded = self.granted.get(task).is_some_and(|last| last > attempt);
            let end = self.ends.get(&(task.clone(), *attempt));
            if is_superseded || stored.is_cancelled(task) {
                continue;
            }
            let id = (task.job.0.clone(), task.index);
            let recorded_attempt = stored
                .records
                .get(&id)
                .map(|(recorded_attempt, _)| *recorded_attempt);
            let is_durable = match end {
                Some(TaskState::Finished) => stored.is_finished(task),
                Some(TaskState::Stopped {
                    checkpoint: Some(_),
                }) => stored.is_finished(task) || recorded_attempt >= Some(*attempt),
                _ => true,
            };
            assert!(
                is_durable,
                "acknowledged-before-durable: {task} {attempt} {end:?}"
            );
        }
    }

    /// Checks that accepted jobs, cancellations and completions stay in the store, and that no
    /// segment grows too large.
    pub fn check_store(&mut self, store: &Store) {
        let acknowledged = self.accepted.len() + self.cancelled.len();
        if self.last_checked == (store.revision, acknowledged) {
            return;
        }
        self.last_checked = (store.revision, acknowledged);
        let stored = StoredState::parse(store);
        for id in &self.accepted {
            assert!(stored.jobs.contains_key(&id.0), "accepted-job-lost: {id}");
        }
        for id in &self.cancelled {
            let is_cancelled = stored.jobs.get(&id.0).is_some_and(|job| job.0);
            assert!(is_cancelled, "cancellation-lost: {id}");
        }
        for (id, (_, finished)) in &stored.jobs {
            let count = finished.iter().map(|digit| digit.count_ones()).sum();
            let before = self.finished_counts.insert(id.clone(), count);
            assert!(before <= Some(count), "completion-lost: {id}");
        }
        for (text, _) in store.segments.values() {
            assert!(text.len() < 400_000, "segment-too-large: {}", text.len());
        }
    }
}

/// Parsed contents of the store.
struct StoredState {
    /// For each job, whether it is cancelled, and the hexadecimal digits of the bit set of its
    /// finished tasks.
    jobs: BTreeMap<String, (bool, Vec<u32>)>,
    /// Attempt and checkpoint in the record of each task.
    records: BTreeMap<(String, u32), (Attempt, Option<String>)>,
}

impl StoredState {
    fn parse(store: &Store) -> Self {
        let mut stored = Self {
            jobs: BTreeMap::new(),
            records: BTreeMap::new(),
        };
        for (text, _) in store.segments.values() {
            let value: Value = serde_json::from_str(text).expect("a segment is JSON");
            for job in value["jobs"]
                .as_array()
                .expect("a segment has an array of jobs")
            {
                let digits = job["finished"].as_str().unwrap_or_default();
                let digits = digits.chars().filter_map(|digit| digit.to_digit(16));
                let is_cancelled = job["is_cancelled"].as_bool().unwrap_or_default();
                let id = job["spec"]["id"]
                    .as_str()
                    .expect("a job has an id")
                    .to_owned();
                stored.jobs.insert(id, (is_cancelled, digits.collect()));
            }
            for task in value["tasks"]
                .as_array()
                .expect("a segment has an array of tasks")
            {
                let id = task["job"]
                    .as_str()
                    .expect("a task names its job")
                    .to_owned();
                let index: u32 = serde_json::from_value(task["index"].clone())
                    .expect("a task has a numeric index");
                let record = &task["record"];
                let attempt = serde_json::from_value(record["attempt"].clone())
                    .expect("a record has an attempt");
                let checkpoint = record["checkpoint"].as_str().map(str::to_owned);
                stored.records.insert((id, index), (attempt, checkpoint));
            }
        }
        stored
    }

    fn is_finished(&self, task: &task::Id) -> bool {
        let digits = self.jobs.get(&task.job.0).map(|job| &job.1);
        let digit = digits.and_then(|digits| digits.get(task.index as usize / 4));
        digit.is_some_and(|digit| digit & (1 << (task.index % 4)) != 0)
    }

    fn is_cancelled(&self, task: &task::Id) -> bool {
        self.jobs.get(&task.job.0).is_some_and(|job| job.0)
    }
}
