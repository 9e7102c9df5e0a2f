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
    pub fn drain_commit(&mut self, now: Time) -> Option<Commit> {
        if !self.recording.is_empty() || self.unrecorded.is_empty() {
            return None;
        }
        if now < self.record_at || !self.is_owner(now) {
            return None;
        }
        self.record_at = now.plus_micros(self.settings.commit_micros);
        let mut records = Vec::new();
        while records.len() < self.settings.commit_jobs_max {
            let Some(key) = self.unrecorded.pop_first() else {
                break;
            };
            if let Some(job) = self.jobs.get(key) {
                self.recording.push((key, job.version));
                records.push((job.id, job.revision, job.progress()));
            }
        }
        (!records.is_empty()).then_some(Commit { records })
    }

    /// The records of the last commit are durable, with this revision.
    pub fn committed(&mut self, revision: Revision) {
        for (key, version) in std::mem::take(&mut self.recording) {
            if let Some(job) = self.jobs.get_mut(key) {
                job.recorded = job.recorded.max(version);
                job.revision = revision;
            }
        }
        let hosts: Vec<HostKey> = self.hosts.keys().collect();
        for key in hosts {
            self.acknowledge_ends(key);
        }
    }

    /// The last commit was refused, since these are the records' revisions.
    pub fn refused(&mut self, revisions: &[(Id, Revision)]) {
        for (key, _) in std::mem::take(&mut self.recording) {
            self.unrecorded.insert(key);
        }
        for (id, revision) in revisions {
            if let Some(job) = self.ids.get(id).and_then(|key| self.jobs.get_mut(*key)) {
                job.revision = *revision;
            }
        }
    }

    /// Acknowledges a host's ends up to the first one that is not recorded.
    pub(super) fn acknowledge_ends(&mut self, key: HostKey) {
        let Some(host) = self.hosts.get_mut(key) else {
            return;
        };
        while let Some((number, job, version)) = host.ends.front().copied() {
            let job: Option<&super::Job> = self.jobs.get(job);
            if job.is_some_and(|job| job.recorded < version) {
                break;
            }
            host.acknowledged = host.acknowledged.max(number);
            host.ends.pop_front();
        }
    }

    /// Returns the jobs of which changes are not recorded.
    #[must_use]
    pub fn unrecorded(&self) -> usize {
        self.unrecorded.len() + self.recording.len()
    }
}
