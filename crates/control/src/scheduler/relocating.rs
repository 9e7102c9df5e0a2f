//! Moves of perpetual tasks that make room for others.
//!
//! Perpetual tasks stay where they are, so the room that is left on several hosts would never become
//! one piece, and the only host that a task may use may stay full of tasks that others would fit. If
//! a perpetual task fits nowhere and no task that ends by itself is in its way, another one is moved,
//! provided that both fit then. So each move adds a running task, and the moves come to an end.

use toucanquay_model::Time;

use super::{
    Event, Host, Run, Scheduler,
    key::{HostKey, RunKey},
    relocation::Relocation,
    stage_ref::StageRef,
    task::{Phase, Task},
};

/// Time for which a task has waited before another one is moved, in microseconds. It exceeds the
/// restart of a worker, which brings its room back.
const WAIT_MICROS_MIN: u64 = 4_000_000;

/// Interval between searches for one stage, in microseconds. A search looks at each attempt.
const SEARCH_INTERVAL_MICROS: u64 = 1_000_000;

/// Time after which a move whose attempt has not ended is given up, in microseconds. It exceeds the
/// lease.
const RELOCATION_MICROS_MAX: u64 = 8_000_000;

/// Percentage of a perpetual task that serves.
const SERVING_PERCENT: u8 = 100;

impl Scheduler {
    /// Moves a perpetual task if that makes room for a waiting stage. One task is moved at a time.
    pub(super) fn make_room(&mut self, stage: StageRef<'_>, now: Time) {
        let is_suitable = stage.step.is_perpetual && !stage.step.uses_idle && !stage.step.is_gang;
        let is_possible = self.relocation.is_none() && self.is_takeover_complete(now);
        let is_due = now >= self.jobs[stage.job].stages[stage.index].move_search_at;
        if !is_suitable || !is_possible || !is_due || !self.has_waited(stage, now) {
            return;
        }
        self.jobs[stage.job].stages[stage.index].move_search_at =
            now.plus_micros(SEARCH_INTERVAL_MICROS);
        let mut hosts = self.hosts.iter();
        if hosts.any(|(key, _)| self.can_wait_for(key, stage)) {
            return;
        }
        let Some(relocation) = self.find_relocation(stage, now) else {
            return;
        };
        self.begin_relocation(relocation);
    }

    /// Returns whether a task of a stage that is no suspect has waited for long.
    fn has_waited(&self, stage: StageRef<'_>, now: Time) -> bool {
        let mut tasks =
            (0..stage.step.tasks).filter_map(|index| self.waiting_task(stage, index, now));
        let is_long = |task: &Task| now.micros_since(task.ran_at) >= WAIT_MICROS_MIN;
        tasks.any(|task| !task.is_suspect() && is_long(task))
    }

    /// Returns the move of the smallest task that makes enough room for a stage.
    fn find_relocation(&self, stage: StageRef<'_>, now: Time) -> Option<Relocation> {
        let hosts = self.hosts.iter().filter(|(key, host)| {
            let is_allowed = self.allowed_worker(host, stage.pool, stage.step).is_some();
            is_allowed && self.is_unclaimed(*key) && self.is_below_worker_limit(*key, stage)
        });
        let runs = hosts.flat_map(|(_, host)| host.runs.iter());
        let runs = runs.filter_map(|key| Some((*key, self.runs.get(*key)?)));
        let mut movable: Vec<(RunKey, &Run)> = runs
            .filter(|(_, run)| self.makes_room(run, stage) && self.may_interrupt(run))
            .collect();
        movable.sort_by_key(|(_, run)| run.occupied.processors_milli);
        let mut moves = movable.into_iter();
        moves.find_map(|(key, run)| {
            let to = self.new_host(run, now)?;
            Some(Relocation {
                run: key,
                from: run.host,
                to,
                stage: (run.job, self.jobs[run.job].stage_index(run.place)?),
                waiting_stage: (stage.job, stage.index),
                expires_at: now.plus_micros(RELOCATION_MICROS_MAX),
            })
        })
    }

    /// Returns whether a task of a stage fits on the host of an attempt once that has ended.
    fn makes_room(&self, run: &Run, stage: StageRef<'_>) -> bool {
        let host = &self.hosts[run.host];
        let room = host.free_resources().plus(&run.occupied);
        stage.step.occupied().fits(&room)
    }

    /// Returns whether an attempt may be stopped: it is one of a perpetual task that serves, and not
    /// too many others of its step are away.
    fn may_interrupt(&self, run: &Run) -> bool {
        let Some(job) = self.jobs.get(run.job).filter(|job| !job.state.is_over()) else {
            return false;
        };
        let (Some(step), Some(task)) = (job.step(run.place), job.task(run.place)) else {
            return false;
        };
        let is_movable = step.is_perpetual && !step.is_gang && !step.uses_idle;
        let is_settled = run.is_active() && run.has_survived_start && !task.is_suspect();
        if !is_movable || !is_settled {
            return false;
        }
        let Some(unavailable_max) = step.unavailable_max else {
            return true;
        };
        let stage = job.stage_index(run.place).map(|index| &job.stages[index]);
        let tasks = stage.into_iter().flat_map(|stage| &stage.tasks);
        let away = tasks.filter(|task| !self.is_serving(task)).count();
        away < unavailable_max as usize
    }

    fn is_serving(&self, task: &Task) -> bool {
        let Phase::Running(key) = task.phase else {
            return false;
        };
        let run = self.runs.get(key);
        run.is_some_and(|run| {
            let is_heard = self.hosts.get(run.host).is_some_and(Host::is_heard);
            run.is_active() && is_heard && run.done_percent >= SERVING_PERCENT
        })
    }

    /// Returns another host on which the task of an attempt may be started now.
    fn new_host(&self, run: &Run, now: Time) -> Option<HostKey> {
        let job = &self.jobs[run.job];
        let queue = self.queues.get(&job.queue);
        let step = job.step(run.place)?;
        let stage = StageRef {
            job: run.job,
            index: job.stage_index(run.place)?,
            step,
            pool: &queue.unwrap_or(&job.queue_at_acceptance).pool,
            image: run.image,
            accepts_any_speed: true,
        };
        let hosts = self.hosts.keys();
        let mut hosts = hosts.filter(|key| *key != run.host && self.is_unclaimed(*key));
        hosts.find(|key| self.host_score(*key, stage, now).is_some())
    }

    /// Returns whether a host is kept neither for a probe nor for a perpetual task.
    fn is_unclaimed(&self, key: HostKey) -> bool {
        !self.probes.contains_key(&key) && !self.reservations.contains_key(&key)
    }

    fn begin_relocation(&mut self, relocation: Relocation) {
        let run = &self.runs[relocation.run];
        let place = run.place;
        self.events.push(Event::MadeRoom {
            task: self.jobs[run.job].task_id(place),
            attempt: run.attempt,
            host: self.hosts[relocation.from].name.clone(),
            new_host: self.hosts[relocation.to].name.clone(),
            job: self.jobs[relocation.waiting_stage.0].id,
        });
        self.avoid_host(relocation.stage.0, place, relocation.from);
        self.stop_run(relocation.run);
        self.mark_host_changed(relocation.to);
        self.relocation = Some(relocation);
    }

    /// Ends a move whose attempt has ended, once both tasks could be placed, or that takes too long.
    pub(super) fn end_relocation(&mut self, now: Time) {
        let Some(relocation) = self.relocation else {
            return;
        };
        let is_stopped = !self.runs.contains_key(relocation.run);
        if is_stopped || now >= relocation.expires_at {
            self.relocation = None;
            self.mark_host_changed(relocation.from);
            self.mark_host_changed(relocation.to);
            self.is_placement_due = true;
        }
    }
}
