//! Moves of attempts that their neighbours leave too little speed.
//!
//! A job ends with its last task, so one task that a sensitive neighbour holds back makes a whole job
//! late. At a peak no other host is faster at the moment when that is seen, because waiting tasks use
//! each place as it opens. A task that is stopped waits among them by the rank of its job, and gets one
//! of the next places if its job has begun.

use toucanquay_model::{Time, graph::Step};

use super::{
    Event, Job, Run, Scheduler,
    key::{HostKey, JobKey, RunKey},
    stage::Stage,
    task::{Phase, Task},
};

/// Time for which an attempt must be slow before it is moved, in microseconds. It is longer than a
/// pace usually takes to recover after a neighbour has started.
const SLOW_BEFORE_MOVE_MICROS: u64 = 600_000;

/// Time from the start of an attempt until its task may be moved for the first time without knowing
/// where to, in microseconds. It doubles with each such move, so that a task which is slow everywhere
/// ends.
const AGE_BEFORE_REQUEUE_MICROS: u64 = 1_000_000;

/// Maximum number of times that this age doubles.
const DOUBLINGS_MAX: u32 = 8;

/// Interval between searches of all hosts for a faster one than one host, in microseconds.
const SEARCH_INTERVAL_MICROS: u64 = 250_000;

/// Minimum speed on another host for which an attempt is moved there.
const SPEED_AFTER_MOVE_MIN: f64 = 0.8;

/// Progress up to which an attempt that saves none is moved, in percent. It is done again.
const UNSAVED_PERCENT_MAX: u8 = 30;

impl Scheduler {
    /// Stops one slow attempt on a host if it can continue at once on another host, or if tasks of
    /// other jobs are waiting for the places that it may use, so that these open all the time.
    pub(super) fn move_slow_run(&mut self, key: HostKey, now: Time) {
        if !self.is_owner(now) || !self.knows_evacuations(now) || !self.is_takeover_complete(now) {
            // What is stopped could not start again.
            return;
        }
        let is_movable = |run: &RunKey| {
            let run = self.runs.get(*run);
            run.is_some_and(|run| self.is_slow(run, now) && self.is_movable(run))
        };
        let runs = self.hosts[key].runs.iter().copied();
        let slow: Vec<RunKey> = runs.filter(is_movable).collect();
        let requeued = slow.iter().find(|run| self.can_requeue(**run, now));
        let moved = requeued
            .copied()
            .or_else(|| self.faster_elsewhere(key, &slow, now));
        let Some(slow) = moved else {
            return;
        };
        let run = &self.runs[slow];
        let (job, place, attempt) = (run.job, run.place, run.attempt);
        if let Some(task) = self.jobs.get(job).map(|job| job.task_id(place)) {
            self.events.push(Event::Moved {
                task,
                attempt,
                host: self.hosts[key].name.clone(),
            });
        }
        if let Some(task) = self.jobs.get_mut(job).and_then(|job| job.task_mut(place)) {
            task.moves = task.moves.saturating_add(1);
        }
        self.avoid_host(job, place, key);
        self.stop_run(slow);
    }

    fn is_slow(&self, run: &Run, now: Time) -> bool {
        let since = run.slow_since.unwrap_or(Time::NEVER);
        !run.is_stopping && now >= since.plus_micros(SLOW_BEFORE_MOVE_MICROS)
    }

    /// Returns whether an attempt loses little by a move. Moving a perpetual task would interrupt its
    /// service, and moving a member of a gang would break the gang. The end of one of two attempts of
    /// a task wouldn't move it, and a suspect must prove that its worker outlives it.
    fn is_movable(&self, run: &Run) -> bool {
        let Some(job) = self.jobs.get(run.job) else {
            return false;
        };
        let (Some(step), Some(task)) = (job.step(run.place), job.task(run.place)) else {
            return false;
        };
        let is_saved = step.has_checkpoints || run.done_percent < UNSAVED_PERCENT_MAX;
        let is_single = !run.is_copy && task.copy.is_none();
        is_saved && is_single && !task.is_suspect() && !step.is_perpetual && !step.is_gang
    }

    /// Returns whether an attempt is stopped although no host is known to be faster: it has had time
    /// to show its speed, and tasks of other jobs wait for places of its kind.
    fn can_requeue(&self, key: RunKey, now: Time) -> bool {
        let run = &self.runs[key];
        let Some(job) = self.jobs.get(run.job) else {
            return false;
        };
        let moves = job.task(run.place).map_or(0, |task| task.moves);
        let age_micros = AGE_BEFORE_REQUEUE_MICROS << moves.min(DOUBLINGS_MAX);
        let is_of_age = now >= run.started_at.plus_micros(age_micros);
        is_of_age && self.is_idle_room_wanted(run.job, self.pool(job), now)
    }

    /// Returns whether tasks of other jobs wait for idle processors of a pool, and would fit on one of
    /// its workers.
    fn is_idle_room_wanted(&self, except: JobKey, pool: &str, now: Time) -> bool {
        let others = self.waiting_jobs.iter().filter(|key| **key != except);
        let mut others = others.filter_map(|key| self.jobs.get(*key));
        others.any(|job| {
            let is_in_pool = !job.state.is_over() && self.pool(job) == pool;
            is_in_pool && self.has_waiting_idle_task(job, pool, now)
        })
    }

    fn has_waiting_idle_task(&self, job: &Job, pool: &str, now: Time) -> bool {
        let is_waiting = |task: &Task| task.phase == Phase::Waiting && task.not_before <= now;
        let steps = job.spec.steps.iter().cycle();
        let mut stages = job.stages.iter().zip(steps);
        stages.any(|(stage, step): (&Stage, &Step)| {
            let is_of_kind = stage.is_open && step.uses_idle;
            is_of_kind
                && stage.tasks.iter().any(is_waiting)
                && self.hosts.values().any(|host| {
                    let worker = self.allowed_worker(host, pool, step);
                    worker.is_some_and(|worker| step.occupied().fits(&worker.capacity))
                })
        })
    }

    /// Returns the first of some attempts on a host that another host has room for and would run at
    /// nearly full speed.
    fn faster_elsewhere(&mut self, key: HostKey, slow: &[RunKey], now: Time) -> Option<RunKey> {
        if slow.is_empty() || now < self.hosts[key].move_search_at {
            return None;
        }
        self.hosts[key].move_search_at = now.plus_micros(SEARCH_INTERVAL_MICROS);
        let mut slow = slow.iter().copied();
        slow.find(|run| self.has_faster_host(*run))
    }

    fn has_faster_host(&self, key: RunKey) -> bool {
        let run = &self.runs[key];
        let step = self.jobs.get(run.job).and_then(|job| job.step(run.place));
        let Some(step) = step else {
            return false;
        };
        let worker = self.hosts[run.host].worker.as_ref();
        let pool = worker.map(|worker| worker.pool.as_str());
        let pool = pool.unwrap_or_default();
        self.hosts.iter().any(|(other, host)| {
            let speed = self.speed(host, pool, step, run.image);
            other != run.host && speed >= Some(SPEED_AFTER_MOVE_MIN)
        })
    }
}
