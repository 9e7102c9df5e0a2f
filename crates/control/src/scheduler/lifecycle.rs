//! Acceptance, cancellation, occurrences and retention of jobs.

use std::collections::BTreeSet;

use toucanquay_model::{
    Time,
    graph::{AcceptedJob, Id, State},
    session::Stop,
};

use super::{
    Event, Job, RestoredJob, Scheduler,
    key::{JobKey, RunKey},
};

impl Scheduler {
    pub(super) fn insert_job(
        &mut self,
        id: Id,
        accepted_job: AcceptedJob,
        restored: Option<RestoredJob>,
        now: Time,
    ) {
        if self.job_keys.contains_key(&id) {
            return;
        }
        let mut job = Job::new(id, accepted_job, restored.is_some());
        if let Some(restored) = restored {
            job.apply_progress(restored.progress, restored.revision);
        }
        if job.state.is_over() {
            job.over_at = Some(now);
        }
        let has_suspects = job.tasks_by_place().any(|(_, task)| task.is_suspect());
        let key = self.jobs.insert(job);
        self.job_keys.insert(id, key);
        if has_suspects {
            self.suspect_jobs.insert(key);
        }
        self.watch_for_copies(key);
        if self.early_cancellations.remove(&id).is_some() {
            self.cancel_job(key, now);
        }
        self.schedule_job(key, now);
    }

    /// Opens the first stages of a job, or sets the timer of its first scheduled occurrence.
    fn schedule_job(&mut self, key: JobKey, now: Time) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        if job.state.is_over() {
            return;
        }
        match job.spec.schedule {
            None => self.open_stages(key, 0, now),
            Some(schedule) => {
                let due = self.time_of_unix_ms(schedule.due_unix_ms(0));
                self.timers.insert((due, key));
            }
        }
        // If the recorded progress leaves nothing to do, the former owner recorded the last task
        // but not the final state of the job.
        self.end_if_complete(key, now);
    }

    pub(super) fn open_stages(&mut self, key: JobKey, occurrence: u32, now: Time) {
        if let Some(job) = self.jobs.get_mut(key)
            && job.open_stages(occurrence, now)
        {
            self.waiting_jobs.insert(key);
            self.is_placement_due = true;
        }
    }

    /// Opens the occurrences that are due, and sets the timers of those that follow. A job has one
    /// timer at a time. It is set again if the wall clock has jumped back meanwhile.
    pub(super) fn fire_timers(&mut self, now: Time) {
        while let Some((at, key)) = self.timers.first().copied() {
            if at > now {
                break;
            }
            self.timers.pop_first();
            self.open_due_occurrences(key, now);
            self.waiting_jobs.insert(key);
            self.is_placement_due = true;
        }
    }

    /// Sets the timers of occurrences anew after the wall clock has jumped. The former ones have no
    /// effect if they fire too early.
    pub(super) fn reset_timers(&mut self) {
        let jobs: BTreeSet<JobKey> = self.timers.iter().map(|(_, key)| *key).collect();
        for key in jobs {
            self.set_timer(key);
        }
    }

    /// Sets the timer of the first occurrence of a job that isn't open.
    fn set_timer(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        let Some(schedule) = job.spec.schedule else {
            return;
        };
        if !job.state.is_over() && job.opened_occurrences < job.spec.occurrences() {
            let due = self.time_of_unix_ms(schedule.due_unix_ms(job.opened_occurrences));
            self.timers.insert((due, key));
        }
    }

    fn open_due_occurrences(&mut self, key: JobKey, now: Time) {
        let unix_ms = self.unix_ms(now);
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        let Some(schedule) = job.spec.schedule else {
            return;
        };
        while job.opened_occurrences < job.spec.occurrences()
            && schedule.due_unix_ms(job.opened_occurrences) <= unix_ms
        {
            job.open_stages(job.opened_occurrences, now);
            job.opened_occurrences += 1;
        }
        self.set_timer(key);
    }

    pub(super) fn cancel_job(&mut self, key: JobKey, now: Time) {
        self.end_job(key, State::Cancelled, None, now);
    }

    /// Ends a job and stops its remaining attempts.
    pub(super) fn end_job(&mut self, key: JobKey, state: State, reason: Option<String>, now: Time) {
        let unix_ms = self.unix_ms(now);
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        if job.state.is_over() {
            return;
        }
        self.events.push(Event::JobOver {
            job: job.id,
            state,
            reason: reason.clone(),
        });
        job.state = state;
        job.reason = reason;
        job.over_at = Some(now);
        job.over_unix_ms = Some(unix_ms);
        let runs = job.active_runs();
        self.mark_changed(key);
        self.waiting_jobs.remove(&key);
        for run in runs {
            self.stop_run(run);
        }
    }

    /// Marks a job as changed, so that its progress is recorded.
    pub(super) fn mark_changed(&mut self, key: JobKey) {
        if let Some(job) = self.jobs.get_mut(key) {
            job.version += 1;
            let is_over = job.state.is_over();
            self.unrecorded_jobs.push(key, is_over);
        }
    }

    /// Orders the host of an attempt to stop it.
    pub(super) fn stop_run(&mut self, key: RunKey) {
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
            task: job.task_id(run.place),
            attempt: run.attempt,
        };
        if let Some(host) = self.hosts.get_mut(run.host) {
            host.stops.push(stop);
        }
    }

    pub(super) fn end_if_complete(&mut self, key: JobKey, now: Time) {
        if self.jobs.get(key).is_some_and(Job::is_complete) {
            self.end_job(key, State::Done, None, now);
        }
    }

    /// Collects the jobs whose retention has passed. [`Self::take_expired_jobs`] returns them, so
    /// that the caller can delete their records. Drops early cancellations whose jobs haven't
    /// arrived.
    pub(super) fn sweep(&mut self, now: Time) {
        self.early_cancellations.retain(|_, drop_at| now < *drop_at);
        let retention = self.settings.retention_micros;
        let is_expired = |job: &Job| {
            let is_recorded = job.recorded_version == job.version;
            let over_at = job.over_at.unwrap_or(Time::NEVER);
            is_recorded && now >= over_at.plus_micros(retention)
        };
        let expired = self
            .jobs
            .values()
            .filter(|job| is_expired(job) && job.active_runs().is_empty());
        self.expired_jobs = expired.map(|job| job.id).collect();
    }

    /// Returns the jobs whose records can be deleted. They are returned again after each sweep
    /// until [`Self::forget_jobs`] confirms the deletion.
    pub fn take_expired_jobs(&mut self) -> Vec<Id> {
        std::mem::take(&mut self.expired_jobs)
    }

    /// Forgets jobs whose records are deleted. A job must be known for as long as its records
    /// exist: otherwise, one that is read again would count as new and run again.
    pub fn forget_jobs(&mut self, ids: &[Id]) {
        for id in ids {
            if let Some(key) = self.job_keys.remove(id) {
                self.jobs.remove(key);
            }
        }
    }
}
