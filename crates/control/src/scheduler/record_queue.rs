//! Jobs whose changes are to be recorded.

use std::collections::VecDeque;

use foldhash::{HashMap, HashMapExt};

use super::key::JobKey;

/// Queue of the jobs whose changes are to be recorded.
///
/// Ended jobs come first, because clients see their end only when it is recorded. Other jobs follow
/// in the order of their first unrecorded change, so that one that changes all the time can't delay
/// the others.
#[derive(Debug)]
pub(super) struct RecordQueue {
    ended: VecDeque<JobKey>,
    changed: VecDeque<JobKey>,
    /// For each queued job, whether it is queued as ended. An entry of `changed` whose job has ended
    /// since then is skipped.
    is_ended: HashMap<JobKey, bool>,
}

impl RecordQueue {
    pub(super) fn new() -> Self {
        Self {
            ended: VecDeque::new(),
            changed: VecDeque::new(),
            is_ended: HashMap::new(),
        }
    }

    /// Adds a job. If it is queued already, its place changes only if it has ended since.
    pub(super) fn push(&mut self, job: JobKey, is_ended: bool) {
        let known = self.is_ended.get(&job).copied();
        if known == Some(true) || known == Some(is_ended) {
            return;
        }
        self.is_ended.insert(job, is_ended);
        if is_ended {
            self.ended.push_back(job);
        } else {
            self.changed.push_back(job);
        }
    }

    /// Removes and returns the first job.
    pub(super) fn pop(&mut self) -> Option<JobKey> {
        if let Some(job) = self.ended.pop_front() {
            self.is_ended.remove(&job);
            return Some(job);
        }
        while let Some(job) = self.changed.pop_front() {
            if self.is_ended.get(&job) == Some(&false) {
                self.is_ended.remove(&job);
                return Some(job);
            }
        }
        None
    }

    /// Returns the number of queued jobs.
    pub(super) fn len(&self) -> usize {
        self.is_ended.len()
    }
}
