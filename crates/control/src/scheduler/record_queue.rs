//! Jobs whose changes are to be recorded.

use std::collections::VecDeque;

use foldhash::{HashMap, HashMapExt};

use super::key::JobKey;

/// Queue of the jobs whose changes are to be recorded.
///
/// Jobs with new suspects come first, because these start again only when their suspicion is
/// recorded. Ended jobs come next, because clients see their end only when it is recorded. Other
/// jobs follow in the order of their first unrecorded change, so that one that changes all the time
/// can't delay the others.
#[derive(Debug)]
pub(super) struct RecordQueue {
    /// Jobs with new suspects, followed by ended jobs.
    urgent: VecDeque<JobKey>,
    changed: VecDeque<JobKey>,
    /// For each queued job, whether it is queued as urgent. An entry of `changed` whose job has become
    /// urgent since then is skipped.
    is_urgent: HashMap<JobKey, bool>,
}

impl RecordQueue {
    pub(super) fn new() -> Self {
        Self {
            urgent: VecDeque::new(),
            changed: VecDeque::new(),
            is_urgent: HashMap::new(),
        }
    }

    /// Adds a job. If it is queued already, its place changes only if it has ended since.
    pub(super) fn push(&mut self, job: JobKey, is_ended: bool) {
        let known = self.is_urgent.get(&job).copied();
        if known == Some(true) || known == Some(is_ended) {
            return;
        }
        self.is_urgent.insert(job, is_ended);
        if is_ended {
            self.urgent.push_back(job);
        } else {
            self.changed.push_back(job);
        }
    }

    /// Adds a job with a new suspect, before all others.
    pub(super) fn push_first(&mut self, job: JobKey) {
        if self.is_urgent.insert(job, true) != Some(true) {
            self.urgent.push_front(job);
        }
    }

    /// Removes and returns the first job.
    pub(super) fn pop(&mut self) -> Option<JobKey> {
        if let Some(job) = self.urgent.pop_front() {
            self.is_urgent.remove(&job);
            return Some(job);
        }
        while let Some(job) = self.changed.pop_front() {
            if self.is_urgent.get(&job) == Some(&false) {
                self.is_urgent.remove(&job);
                return Some(job);
            }
        }
        None
    }

    /// Returns the number of queued jobs.
    pub(super) fn len(&self) -> usize {
        self.is_urgent.len()
    }
}
