//! Acceptance, cancellation, occurrences and retention of jobs.

use toucanquay_model::{
    Time,
    graph::{AcceptedJob, Id, State},
    session::Stop,
};

use super::{
    Job, Note, Restored, Scheduler,
    key::{JobKey, RunKey},
};

impl Scheduler {
    pub(super) fn insert(
        &mut self,
        id: Id,
        acceptance: AcceptedJob,
        restored: Option<Restored>,
        now: Time,
    ) {
        if self.ids.contains_key(&id) {
            return;
        }
        let mut job = Job::new(id, acceptance, restored.is_some());
        if let Some(restored) = restored {
            job.restore(restored.progress, restored.revision);
        }
        if job.state.is_over() {
            job.over_at = Some(now);
        }
        let key = self.jobs.insert(job);
        self.ids.insert(id, key);
        if self.cancelled.remove(&id) {
            self.cancel_job(key, now);
        }
        self.begin(key, now);
    }

    /// Opens the first stages of a job, or sets timers for its occurrences.
    fn begin(&mut self, key: JobKey, now: Time) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        if job.state.is_over() {
            return;
        }
        match job.spec.schedule {
            None => self.open(key, 0),
            Some(schedule) => {
                for occurrence in 0..job.spec.occurrences() {
                    let due = self.time_of_unix_ms(schedule.due_unix_ms(occurrence));
                    self.timers.insert((due, key));
                }
            }
        }
        // A job without anything left to do was recorded before its state was.
        self.complete(key, now);
    }

    pub(super) fn open(&mut self, key: JobKey, occurrence: u32) {
        if let Some(job) = self.jobs.get_mut(key)
            && job.open(occurrence)
        {
            self.waiting.insert(key);
            self.is_placement_due = true;
        }
    }

    pub(super) fn fire_timers(&mut self, now: Time) {
        while let Some((at, key)) = self.timers.first().copied() {
            if at > now {
                break;
            }
            self.timers.pop_first();
            self.open_due(key, now);
            self.waiting.insert(key);
            self.is_placement_due = true;
        }
    }

    fn open_due(&mut self, key: JobKey, now: Time) {
        let unix_ms = self.unix_ms(now);
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        let Some(schedule) = job.spec.schedule else {
            return;
        };
        for occurrence in 0..job.spec.occurrences() {
            if schedule.due_unix_ms(occurrence) <= unix_ms {
                job.open(occurrence);
            }
        }
    }

    pub(super) fn cancel_job(&mut self, key: JobKey, now: Time) {
        self.end_job(key, State::Cancelled, None, now);
    }

    /// Ends a job and stops what still runs of it.
    pub(super) fn end_job(&mut self, key: JobKey, state: State, reason: Option<String>, now: Time) {
        let unix_ms = self.unix_ms(now);
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        if job.state.is_over() {
            return;
        }
        self.notes.push(Note::JobOver {
            job: job.id,
            state,
            reason: reason.clone(),
        });
        job.state = state;
        job.reason = reason;
        job.over_at = Some(now);
        job.over_unix_ms = Some(unix_ms);
        let runs = job.running();
        self.changed(key);
        self.waiting.remove(&key);
        for run in runs {
            self.stop(run);
        }
    }

    /// Marks a change of a job that has to be recorded.
    pub(super) fn changed(&mut self, key: JobKey) {
        if let Some(job) = self.jobs.get_mut(key) {
            job.version += 1;
            self.unrecorded.insert(key);
        }
    }

    /// Tells the host of an attempt to stop it.
    pub(super) fn stop(&mut self, key: RunKey) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        if run.is_stopping {
            return;
        }
        run.is_stopping = true;
        let Some(job) = self.jobs.get(run.job) else {
            return;
        };
        let stop = Stop {
            task: job.name(run.place),
            attempt: run.attempt,
        };
        if let Some(host) = self.hosts.get_mut(run.host) {
            host.stops.push(stop);
        }
    }

    pub(super) fn complete(&mut self, key: JobKey, now: Time) {
        if self.jobs.get(key).is_some_and(Job::is_complete) {
            self.end_job(key, State::Done, None, now);
        }
    }

    /// Forgets jobs that were over long ago. Their records are removed by [`Self::expired`].
    pub(super) fn sweep(&mut self, now: Time) {
        let retention = self.settings.retention_micros;
        let is_old = |job: &Job| {
            let is_recorded = job.recorded == job.version;
            let over_at = job.over_at.unwrap_or(Time::NEVER);
            is_recorded && now >= over_at.plus_micros(retention)
        };
        let old: Vec<JobKey> = self
            .jobs
            .iter()
            .filter(|(_, job)| is_old(job) && job.running().is_empty())
            .map(|(key, _)| key)
            .collect();
        for key in old {
            if let Some(job) = self.jobs.remove(key) {
                self.ids.remove(&job.id);
                self.expired.push(job.id);
            }
        }
    }

    /// Returns jobs that are forgotten and whose records may be removed.
    pub fn drain_expired(&mut self) -> Vec<Id> {
        std::mem::take(&mut self.expired)
    }
}
