//! What must hold, checked against the runtimes and the store.

use std::collections::{BTreeMap, BTreeSet};

use serde_json::Value;
use toucanquay_model::{
    Attempt,
    exchange::{Command, Report, TaskState},
    job, task,
};

use super::{counts::Counts, runtime::Key, store::Store};

/// What was acknowledged and granted so far.
#[derive(Debug, Default)]
pub struct Truth {
    pub accepted: BTreeSet<job::Id>,
    pub cancelled: BTreeSet<job::Id>,
    /// Highest attempt of each task whose grant has left an owner.
    pub granted: BTreeMap<task::Id, Attempt>,
    started: BTreeSet<Key>,
    /// How each attempt ended at its runtime.
    pub ends: BTreeMap<Key, TaskState>,
    reported: BTreeSet<Key>,
    /// Revision of the store and number of acknowledged calls at the last check.
    checked: (u64, usize),
    finished_before: BTreeMap<String, u32>,
}

impl Truth {
    /// Guards against an attempt that is started twice, and against a start after the
    /// acknowledgement of a cancellation.
    pub fn check_start(&mut self, key: &Key) {
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

    pub fn count_report(&mut self, report: &Report, counts: &mut Counts) {
        for line in &report.tasks {
            if matches!(line.state, TaskState::Refused { .. }) {
                counts.add("grant refused");
            } else if !line.state.holds_resources()
                && !self.reported.insert((line.task.clone(), line.attempt))
            {
                counts.add("end reported again");
            }
        }
    }

    /// Guards against a grant that lacks the newest durable checkpoint, and against an
    /// acknowledgement of an end that is not durable.
    pub fn check_command(&mut self, command: &Command, store: &Store, counts: &mut Counts) {
        if command.grants.is_empty() && command.acknowledged.is_empty() {
            return;
        }
        let view = View::of(store);
        for grant in &command.grants {
            let id = (grant.task.job.0.clone(), grant.task.index);
            let newest = view.records.get(&id).and_then(|(_, text)| text.clone());
            assert_eq!(
                grant.checkpoint, newest,
                "resumed-from-old-checkpoint: {} {}",
                grant.task, grant.attempt
            );
            assert!(
                !view.is_finished(&grant.task),
                "finished-task-granted: {} {}",
                grant.task,
                grant.attempt
            );
            if newest.is_some() {
                counts.add("resumed from a checkpoint");
            }
            let highest = self.granted.entry(grant.task.clone()).or_default();
            *highest = (*highest).max(grant.attempt);
        }
        for (task, attempt) in &command.acknowledged {
            let is_replaced = self.granted.get(task).is_some_and(|last| last > attempt);
            let end = self.ends.get(&(task.clone(), *attempt));
            if is_replaced || view.is_cancelled(task) {
                continue;
            }
            let id = (task.job.0.clone(), task.index);
            let recorded = view.records.get(&id).map(|(recorded, _)| *recorded);
            let is_durable = match end {
                Some(TaskState::Finished) => view.is_finished(task),
                Some(TaskState::Stopped {
                    checkpoint: Some(_),
                }) => view.is_finished(task) || recorded >= Some(*attempt),
                _ => true,
            };
            assert!(
                is_durable,
                "acknowledged-before-durable: {task} {attempt} {end:?}"
            );
        }
    }

    /// Guards against accepted jobs, cancellations and completions that disappear.
    pub fn check_store(&mut self, store: &Store) {
        let acknowledged = self.accepted.len() + self.cancelled.len();
        if self.checked == (store.revision, acknowledged) {
            return;
        }
        self.checked = (store.revision, acknowledged);
        let view = View::of(store);
        for id in &self.accepted {
            assert!(view.jobs.contains_key(&id.0), "accepted-job-lost: {id}");
        }
        for id in &self.cancelled {
            let is_cancelled = view.jobs.get(&id.0).is_some_and(|job| job.0);
            assert!(is_cancelled, "cancellation-lost: {id}");
        }
        for (id, (_, finished)) in &view.jobs {
            let count = finished.iter().map(|digit| digit.count_ones()).sum();
            let before = self.finished_before.insert(id.clone(), count);
            assert!(before <= Some(count), "completion-lost: {id}");
        }
        for (text, _) in store.segments.values() {
            assert!(text.len() < 400_000, "segment-too-large: {}", text.len());
        }
    }
}

/// The store's content.
struct View {
    /// Whether it is cancelled, and the digits of the finished tasks.
    jobs: BTreeMap<String, (bool, Vec<u32>)>,
    records: BTreeMap<(String, u32), (Attempt, Option<String>)>,
}

impl View {
    fn of(store: &Store) -> Self {
        let mut view = Self {
            jobs: BTreeMap::new(),
            records: BTreeMap::new(),
        };
        for (text, _) in store.segments.values() {
            let value: Value = serde_json::from_str(text).expect("segment is JSON");
            for job in value["jobs"].as_array().expect("jobs") {
                let digits = job["finished"].as_str().unwrap_or_default();
                let digits = digits.chars().filter_map(|digit| digit.to_digit(16));
                let is_cancelled = job["is_cancelled"].as_bool().unwrap_or_default();
                let id = job["spec"]["id"].as_str().expect("id").to_owned();
                view.jobs.insert(id, (is_cancelled, digits.collect()));
            }
            for line in value["tasks"].as_array().expect("tasks") {
                let id = line["job"].as_str().expect("job").to_owned();
                let index: u32 = serde_json::from_value(line["index"].clone()).expect("index");
                let record = &line["record"];
                let attempt = serde_json::from_value(record["attempt"].clone()).expect("attempt");
                let checkpoint = record["checkpoint"].as_str().map(str::to_owned);
                view.records.insert((id, index), (attempt, checkpoint));
            }
        }
        view
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
