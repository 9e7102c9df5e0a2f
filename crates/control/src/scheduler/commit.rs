//! Persistence of job progress in the store.

use toucanquay_model::{
    Revision, Time,
    graph::{Id, Progress},
};

use super::{Scheduler, key::HostKey};

/// Records to write in one transaction.
///
/// Each record replaces the one with the given revision, so that a delayed write cannot overwrite a
/// later one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Commit {
    /// For each job, the revision of its current record and the new record.
    pub records: Vec<(Id, Revision, Progress)>,
}

impl Scheduler {
    /// Returns the next records to write. Returns `None` if nothing has changed, a commit is in
    /// progress, or the owner has lost its ownership. A commit that isn't full waits until the
    /// commit interval has passed.
    pub fn next_commit(&mut self, now: Time) -> Option<Commit> {
        if !self.committing_jobs.is_empty() || self.unrecorded_jobs.len() == 0 {
            return None;
        }
        let is_full = self.unrecorded_jobs.len() >= self.settings.commit_jobs_max;
        if (now < self.next_commit_at && !is_full) || !self.is_owner(now) {
            return None;
        }
        self.next_commit_at = now.plus_micros(self.settings.commit_interval_micros);
        let mut records = Vec::new();
        while records.len() < self.settings.commit_jobs_max {
            let Some(key) = self.unrecorded_jobs.pop() else {
                break;
            };
            if let Some(job) = self.jobs.get(key) {
                self.committing_jobs.push((key, job.version));
                records.push((job.id, job.revision, job.progress()));
            }
        }
        (!records.is_empty()).then_some(Commit { records })
    }

    /// Marks the records of the last commit as persisted with the given revision.
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
            self.acknowledge_crashes(key);
        }
        self.release_recorded_suspects();
    }

    /// Requeues the records of the last commit, which the store rejected because of a revision
    /// conflict. `revisions` are the current revisions of the records.
    pub fn commit_rejected(&mut self, revisions: &[(Id, Revision)]) {
        for (key, _) in std::mem::take(&mut self.committing_jobs) {
            let is_over = self.jobs.get(key).is_some_and(|job| job.state.is_over());
            let mut suspects = self.unrecorded_suspects.iter();
            if suspects.any(|(job, _)| *job == key) {
                self.unrecorded_jobs.push_first(key);
            } else {
                self.unrecorded_jobs.push(key, is_over);
            }
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

    /// Acknowledges the ends of a host up to the first one whose job change is not yet recorded.
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

    /// Returns the number of jobs with unrecorded changes.
    #[must_use]
    pub fn unrecorded_jobs(&self) -> usize {
        self.unrecorded_jobs.len() + self.committing_jobs.len()
    }
}
