//! Processing of ended attempts.

use toucanquay_model::{
    Time,
    graph::{Place, State},
    session::{End, Ending, Stop},
};

use super::{
    Event, Scheduler,
    key::{HostKey, JobKey, RunKey},
    task::{Phase, Task},
    updates::task_place,
};

/// Time for which an attempt of a perpetual task must run for its failure to count as the first
/// one, in microseconds.
const STABLE_MICROS: u64 = 5_000_000;

impl Scheduler {
    /// Processes the end of an attempt that a worker reports.
    pub(super) fn handle_end(&mut self, host: HostKey, end: &End, now: Time) {
        let Some(key) = self.job_keys.get(&end.task.job).copied() else {
            return;
        };
        let place = task_place(end.task);
        let current = self.run_of_attempt(key, place, end.attempt);
        let has_run_for_long =
            current.is_some_and(|run| now >= self.runs[run].started_at.plus_micros(STABLE_MICROS));
        let is_done = end.ending == Ending::Done;
        if let Some(run) = current {
            if is_done {
                self.learn_from(run, now);
            }
            self.release_run(run, now);
        }
        if let Some(job) = self.jobs.get_mut(key) {
            job.mark_started();
        }
        match end.ending {
            Ending::Done => self.finish_task(key, place, host, now),
            Ending::Failed => {
                self.outlive_start(key, place, end.attempt);
                if has_run_for_long {
                    self.reset_backoff(key, place);
                }
                self.handle_failure(key, place, end.attempt, host, now);
            }
            Ending::Stopped | Ending::Expired | Ending::Broken | Ending::Alone | Ending::Lost => {}
        }
        if end.checkpoint.is_some() {
            self.save_checkpoint(key, place, end.checkpoint.clone());
        }
    }

    /// Removes an attempt that is no longer on its worker and returns its task to the waiting
    /// state.
    pub(super) fn release_run(&mut self, key: RunKey, now: Time) {
        let Some(run) = self.runs.remove(key) else {
            return;
        };
        let mut is_heard = false;
        let task = self.jobs.get(run.job).map(|job| job.task_id(run.place));
        if let Some(host) = self.hosts.get_mut(run.host) {
            is_heard = host.is_heard();
            host.remove_run(key, &run);
            let is_of_run = |stop: &Stop| Some(stop.task) == task && stop.attempt == run.attempt;
            host.stops.retain(|stop| !is_of_run(stop));
        }
        self.end_probe(run.host, key);
        self.mark_host_changed(run.host);
        self.is_placement_due = true;
        let Some(job) = self.jobs.get_mut(run.job) else {
            return;
        };
        job.remove_run();
        if let Some(task) = job.task_mut(run.place)
            && task.release(key)
        {
            if is_heard && run.is_active() {
                task.ran_at = now;
            }
            task.not_before = task.not_before.max(now);
        }
        if !job.state.is_over() {
            self.waiting_jobs.insert(run.job);
        }
    }

    /// Prevents a task from being placed before `until`.
    pub(super) fn delay_task(&mut self, key: JobKey, place: Place, until: Time) {
        if let Some(task) = self.jobs.get_mut(key).and_then(|job| job.task_mut(place)) {
            task.not_before = until;
            self.timers.insert((until, key));
        }
    }

    /// Makes a task prefer other hosts.
    pub(super) fn avoid_host(&mut self, key: JobKey, place: Place, host: HostKey) {
        if let Some(task) = self.jobs.get_mut(key).and_then(|job| job.task_mut(place)) {
            task.avoided_host = Some(host);
        }
    }

    fn run_of_attempt(&self, key: JobKey, place: Place, attempt: u64) -> Option<RunKey> {
        let mut runs = self.jobs.get(key)?.task(place)?.runs();
        runs.find(|run| {
            self.runs
                .get(*run)
                .is_some_and(|run| run.attempt == attempt)
        })
    }

    fn finish_task(&mut self, key: JobKey, place: Place, host: HostKey, now: Time) {
        self.hosts[host].failing_jobs.clear();
        self.hosts[host].avoid_until = Time::ZERO;
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        let is_perpetual = job.step(place).is_some_and(|step| step.is_perpetual);
        if job.state.is_over() || is_perpetual {
            return;
        }
        let is_gang = job.step(place).is_some_and(|step| step.is_gang);
        let Some(stage) = job.stage_mut(place) else {
            return;
        };
        // A copy may be running, or, if the end was reported late, a later attempt.
        let mut others = Vec::new();
        let indices = if is_gang {
            0..stage.tasks.len()
        } else {
            place.index as usize..place.index as usize + 1
        };
        for index in indices {
            others.extend(stage.tasks.get(index).into_iter().flat_map(Task::runs));
            stage.finish_task(u32::try_from(index).unwrap_or(u32::MAX));
        }
        job.mark_started();
        job.update_remaining();
        self.mark_changed(key);
        for run in others {
            self.count_lost_copy(run);
            self.stop_run(run);
        }
        self.open_stages(key, place.occurrence, now);
        self.end_if_complete(key, now);
    }

    fn handle_failure(
        &mut self,
        key: JobKey,
        place: Place,
        attempt: u64,
        host: HostKey,
        now: Time,
    ) {
        self.record_worker_failure(host, key, now);
        let attempts_max = self.attempts_max(key);
        let backoff_micros_max = self.settings.backoff_micros_max;
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        let is_perpetual = job.step(place).is_some_and(|step| step.is_perpetual);
        let is_over = job.state.is_over();
        let task_id = job.task_id(place);
        let Some(task) = job.task_mut(place) else {
            return;
        };
        if is_over || task.phase == Phase::Done {
            return;
        }
        if !task.count_failure(attempt) {
            return;
        }
        task.avoided_host = Some(host);
        let failures = u32::try_from(task.failed_attempts.len()).unwrap_or(u32::MAX);
        self.events.push(Event::Failed {
            task: task_id,
            failures,
            host: self.hosts[host].name.clone(),
        });
        if is_perpetual {
            let backoff_micros = 50_000_u64 << failures.min(10);
            self.delay_task(
                key,
                place,
                now.plus_micros(backoff_micros.min(backoff_micros_max)),
            );
            return;
        }
        self.mark_changed(key);
        if failures >= attempts_max {
            let reason = format!("{failures} attempts of task {}", place.index);
            self.end_job(key, State::Failed, Some(reason), now);
        }
    }

    /// Forgets the failures of a perpetual task, so that the next one is delayed like the first.
    fn reset_backoff(&mut self, key: JobKey, place: Place) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        let is_perpetual = job.step(place).is_some_and(|step| step.is_perpetual);
        if is_perpetual && let Some(task) = job.task_mut(place) {
            task.failed_attempts.clear();
        }
    }

    fn save_checkpoint(&mut self, key: JobKey, place: Place, checkpoint: Option<String>) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        let is_over = job.state.is_over();
        let is_perpetual = job.step(place).is_some_and(|step| step.is_perpetual);
        let may_have_copies = job.may_have_copies(place);
        // The attempt that goes on beside a copy has a checkpoint of its own.
        let is_settled = |phase: Phase| match phase {
            Phase::Waiting => true,
            Phase::Running(_) => !may_have_copies,
            Phase::Done => false,
        };
        if let Some(task) = job.task_mut(place)
            && !is_over
            && is_settled(task.phase)
        {
            task.checkpoint = checkpoint;
            if !is_perpetual {
                self.mark_changed(key);
            }
        }
    }

    /// Records a failure on a worker, and avoids the worker for a time if several distinct jobs
    /// fail on it in a row.
    fn record_worker_failure(&mut self, host: HostKey, job: JobKey, now: Time) {
        let host = &mut self.hosts[host];
        if !host.failing_jobs.contains(&job) {
            host.failing_jobs.push(job);
        }
        if host.failing_jobs.len() >= self.settings.failing_jobs_max {
            host.avoid_until = now.plus_micros(self.settings.avoidance_micros);
            // Keeps the count just below the limit, so that one more failing job after that time is
            // enough to avoid the worker again.
            host.failing_jobs.pop();
        }
    }

    pub(super) fn attempts_max(&self, key: JobKey) -> u32 {
        let Some(job) = self.jobs.get(key) else {
            return 1;
        };
        let queue = self
            .queues
            .get(&job.queue)
            .unwrap_or(&job.queue_at_acceptance);
        queue.attempts_max.max(1)
    }
}
