//! Search for late tasks, and the start of copies of them.

use std::{cmp::Reverse, collections::BTreeMap, iter, sync::Arc};

use toucanquay_model::{
    Time,
    graph::{Job as Spec, Step},
};
use toucanquay_policy::duration::Forecast;

use super::{
    Event, Job, Run, Scheduler,
    copy_room::CopyRoom,
    key::{HostKey, JobKey},
    late_task::LateTask,
    stage::Stage,
    stage_ref::StageRef,
    task::{Phase, Task},
};

/// Interval between searches, in microseconds.
const SEARCH_INTERVAL_MICROS: u64 = 100_000;

/// Maximum number of copies that one search starts.
const STARTS_MAX: usize = 16;

/// Time without news of a host's worker after which its tasks may have copies, in microseconds.
const SILENCE_MICROS: u64 = 1_500_000;

/// Speed of a host, as a ratio to that of the others, from which on copies are started there.
const HOST_SPEED_MIN: f64 = 0.75;

impl Scheduler {
    /// Starts copies of tasks that are late, where room is idle. Those that save most come first.
    pub(super) fn copy_late_tasks(&mut self, now: Time) {
        if now < self.copies.next_search_at || !self.is_owner(now) {
            return;
        }
        self.copies.next_search_at = now.plus_micros(SEARCH_INTERVAL_MICROS);
        let jobs = &self.jobs;
        let is_live = |key: &JobKey| jobs.get(*key).is_some_and(|job| !job.state.is_over());
        self.copies.jobs.retain(is_live);
        let mut late = self.late_tasks(now);
        if late.is_empty() {
            return;
        }
        late.sort_by_key(|task| Reverse(task.saving_ms));
        let mut rooms = BTreeMap::new();
        let mut starts = 0;
        for task in late {
            let Some(job) = self.jobs.get(task.job) else {
                continue;
            };
            let pool = self.pool(job).to_owned();
            let room = rooms
                .entry(pool.clone())
                .or_insert_with(|| self.copy_room(&pool, now));
            let milli = self.copy_demand_milli(task);
            let Some(room) = room.as_mut().filter(|room| room.allows(milli)) else {
                continue;
            };
            if starts < STARTS_MAX && self.start_copy(task, &pool, now) {
                room.occupy(milli);
                starts += 1;
            }
        }
    }

    /// Returns the tasks that are late and may have a copy.
    fn late_tasks(&self, now: Time) -> Vec<LateTask> {
        let mut late = Vec::new();
        let is_takeover_complete = self.is_takeover_complete(now);
        for key in &self.copies.jobs {
            let Some(job) = self.jobs.get(*key) else {
                continue;
            };
            // An attempt on a host that has yet to report may already be the second one.
            if job.is_inherited && !is_takeover_complete {
                continue;
            }
            let steps = job.spec.steps.iter().cycle();
            for ((index, stage), step) in job.stages.iter().enumerate().zip(steps) {
                if stage.is_open && !stage.is_complete() && step.may_have_copies() {
                    self.add_late_tasks(&mut late, *key, job, (index, stage, step), now);
                }
            }
        }
        late
    }

    fn add_late_tasks(
        &self,
        late: &mut Vec<LateTask>,
        key: JobKey,
        job: &Job,
        (stage_index, stage, step): (usize, &Stage, &Step),
        now: Time,
    ) {
        let forecast = self.forecast(job, stage, step, now);
        let learned = self.copies.learned(job.program(step));
        let may_begin = learned.is_none_or(|learned| learned.trials.may_begin(now));
        let attempts_max = self.attempts_max(key) as usize;
        for (index, task) in (0..).zip(&stage.tasks) {
            let Phase::Running(run_key) = task.phase else {
                continue;
            };
            // Both attempts may fail.
            let is_allowed = task.copy.is_none()
                && !task.is_suspect()
                && task.failed_attempts.len() + 1 < attempts_max;
            let Some(run) = self.runs.get(run_key).filter(|_| is_allowed) else {
                continue;
            };
            if let Some(saving_ms) = self.copy_saving_ms(run, forecast, may_begin, now) {
                late.push(LateTask {
                    job: key,
                    stage: stage_index,
                    index,
                    run: run_key,
                    saving_ms,
                    typical_ms: forecast.typical_ms,
                });
            }
        }
    }

    /// Returns the time that a copy of an attempt saves, in milliseconds, or `None` if none is worth
    /// it.
    ///
    /// An attempt on a worker that isn't heard of is replaced at the end of the lease at the latest,
    /// whether a copy of it is started or not.
    fn copy_saving_ms(
        &self,
        run: &Run,
        forecast: Forecast,
        may_begin: bool,
        now: Time,
    ) -> Option<u64> {
        // A task that crashes its worker must not crash two.
        if run.is_stopping || (run.has_begun && !run.has_survived_start) {
            return None;
        }
        let lease_end = self.hosts[run.host].lease_end_bound;
        if now.plus_micros(self.settings.lease_micros) >= lease_end.plus_micros(SILENCE_MICROS) {
            let wait_ms = lease_end.micros_since(now) / 1_000;
            return forecast.saving_of(wait_ms.saturating_add(forecast.typical_ms));
        }
        let elapsed_ms = now.micros_since(run.started_at) / 1_000;
        let saving_ms = forecast.saving_ms(elapsed_ms, run.done_percent);
        saving_ms.filter(|_| may_begin)
    }

    /// Returns the room of a pool for copies, or `None` if it is wanted for other tasks.
    fn copy_room(&self, pool: &str, now: Time) -> Option<CopyRoom> {
        if self.is_room_wanted(pool, now) {
            return None;
        }
        let workers = self.hosts.values().filter(|host| host.is_in_pool(pool));
        let capacity_milli: u64 = workers
            .filter_map(|host| host.worker.as_ref())
            .map(|worker| u64::from(worker.capacity.processors_milli))
            .sum();
        Some(CopyRoom::new(capacity_milli, self.copies_milli(pool)))
    }

    /// Returns the processors of the copies in a pool, in thousandths.
    fn copies_milli(&self, pool: &str) -> u64 {
        let jobs = self.copies.jobs.iter();
        let jobs = jobs.filter_map(|key| self.jobs.get(*key));
        let copies = jobs
            .filter(|job| self.pool(job) == pool)
            .flat_map(|job| {
                job.tasks_by_place()
                    .map(move |(place, task)| (job, place, task))
            })
            .filter(|(_, _, task)| task.copy.is_some());
        let steps = copies.filter_map(|(job, place, _)| job.step(place));
        steps
            .map(|step| u64::from(step.demand.processors_milli))
            .sum()
    }

    /// Returns whether a task waits for room in a pool that copies would take.
    pub(super) fn is_room_wanted(&self, pool: &str, now: Time) -> bool {
        let is_waiting = |task: &Task| task.phase == Phase::Waiting && task.not_before <= now;
        let wants_room = |(stage, step): (&Stage, &Step)| {
            stage.is_open && !step.uses_idle && stage.tasks.iter().any(is_waiting)
        };
        let mut jobs = self
            .waiting_jobs
            .iter()
            .filter_map(|key| self.jobs.get(*key));
        jobs.any(|job| {
            let steps = job.spec.steps.iter().cycle();
            let is_in_pool = !job.state.is_over() && self.pool(job) == pool;
            is_in_pool && job.stages.iter().zip(steps).any(wants_room)
        })
    }

    fn copy_demand_milli(&self, task: LateTask) -> u64 {
        let job = &self.jobs[task.job];
        let step = &job.spec.steps[task.stage % job.spec.steps.len()];
        u64::from(step.demand.processors_milli)
    }

    /// Starts a copy of a task. Returns `false` if no other host suits it.
    fn start_copy(&mut self, task: LateTask, pool: &str, now: Time) -> bool {
        let spec: Arc<Spec> = self.jobs[task.job].spec.clone();
        let step = &spec.steps[task.stage % spec.steps.len()];
        let stage = StageRef {
            job: task.job,
            index: task.stage,
            step,
            pool,
            image: self.image_key(step),
            accepts_any_speed: false,
        };
        let Some(host) = self.copy_host(stage, self.runs[task.run].host, now) else {
            return false;
        };
        let attempt = self.next_attempt();
        let copy = self.start_task(stage, task.index, host, attempt, now);
        self.runs[copy].is_copy = true;
        let place = self.place(stage, task.index);
        let job = &mut self.jobs[task.job];
        if let Some(state) = job.task_mut(place) {
            state.phase = Phase::Running(task.run);
            state.copy = Some(copy);
        }
        let task_id = job.task_id(place);
        let program = job.program(step).to_owned();
        if let Some(learned) = self.copies.learned_mut(&program) {
            learned.trials.begin(now);
        }
        let first = &self.runs[task.run];
        self.events.push(Event::CopyStarted {
            task: task_id,
            attempt,
            host: self.hosts[host].name.clone(),
            first_host: self.hosts[first.host].name.clone(),
            elapsed_ms: now.micros_since(first.started_at) / 1_000,
            typical_ms: task.typical_ms,
        });
        true
    }

    /// Returns the best host for a copy, other than that of the first attempt.
    fn copy_host(&self, stage: StageRef<'_>, first: HostKey, now: Time) -> Option<HostKey> {
        let mut candidates = self.candidates(stage, None, now);
        let is_suitable =
            |host: HostKey| host != first && self.host_speed(host, now) >= HOST_SPEED_MIN;
        iter::from_fn(|| candidates.pop(None)).find(|host| is_suitable(*host))
    }
}
