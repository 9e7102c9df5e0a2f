//! Records of jobs in the store.

use toucanquay_model::{
    Revision, Time,
    graph::{Id, Progress},
};

use super::{Scheduler, key::HostKey};

/// Records to write in one transaction.
///
/// Each record replaces the one with the given revision, so that a write that takes effect late
/// can't undo a later one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Commit {
    /// Jobs, the revisions of their records, and the new records.
    pub records: Vec<(Id, Revision, Progress)>,
}

impl Scheduler {
    /// Returns the next records to write, unless a commit is under way.
    pub fn next_commit(&mut self, now: Time) -> Option<Commit> {
        if !self.committing_jobs.is_empty() || self.unrecorded_jobs.is_empty() {
            return None;
        }
        if now < self.next_commit_at || !self.is_owner(now) {
            return None;
        }
        self.next_commit_at = now.plus_micros(self.settings.commit_interval_micros);
        let mut records = Vec::new();
        while records.len() < self.settings.commit_jobs_max {
            let Some(key) = self.unrecorded_jobs.pop_first() else {
                break;
            };
            if let Some(job) = self.jobs.get(key) {
                self.committing_jobs.push((key, job.version));
                records.push((job.id, job.revision, job.progress()));
            }
        }
        (!records.is_empty()).then_some(Commit { records })
    }

    /// The records of the last commit are durable, with this revision.
    pub fn commit_succeeded(&mut self, revision: Revision) {
        for (key, version) in std::mem::take(&mut self.committing_jobs) {
            if let Some(job) = self.jobs.get_mut(key) {
                job.recorded_version = job.recorded_version.max(version);
                job.revision = revision;
            }
        }
        let hosts: Vec<HostKey> = self.hosts.keys().collect();
        for key in hosts {
            self.acknowledge_ends(key);
        }
    }

    /// The last commit was refused, since these are the records' revisions.
    pub fn commit_rejected(&mut self, revisions: &[(Id, Revision)]) {
        for (key, _) in std::mem::take(&mut self.committing_jobs) {
            self.unrecorded_jobs.insert(key);
        }
        for (id, revision) in revisions {
            if let Some(job) = self
                .job_keys
                .get(id)
                .and_then(|key| self.jobs.get_mut(*key))
            {
                job.revision = *revision;
            }
        }
    }

    /// Acknowledges a host's ends up to the first one that is not recorded.
    pub(super) fn acknowledge_ends(&mut self, key: HostKey) {
        let Some(host) = self.hosts.get_mut(key) else {
            return;
        };
        while let Some((number, job, version)) = host.unacknowledged_ends.front().copied() {
            let job: Option<&super::Job> = self.jobs.get(job);
            if job.is_some_and(|job| job.recorded_version < version) {
                break;
            }
            host.acknowledged = host.acknowledged.max(number);
            host.unacknowledged_ends.pop_front();
        }
    }

    /// Returns the jobs of which changes are not recorded.
    #[must_use]
    pub fn unrecorded_jobs(&self) -> usize {
        self.unrecorded_jobs.len() + self.committing_jobs.len()
    }
}
