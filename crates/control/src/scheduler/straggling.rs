//! Moves of tasks that save their progress away from slow hosts.
//!
//! A host may be slow for all that it runs, without a neighbour that could be paced. A task of a step
//! that doesn't allow copies can only go on elsewhere after it has stopped, so it is moved if it
//! then ends much sooner, the time for the move and the work since its last checkpoint included.

use toucanquay_model::{Time, graph::Job as Spec};

use super::{
    Event, Run, Scheduler,
    key::{HostKey, RunKey},
    stage_ref::StageRef,
    task::Phase,
};

/// Interval between searches, in microseconds.
const SEARCH_INTERVAL_MICROS: u64 = 1_000_000;

/// Speed of a host, as a ratio to that of the others, up to which tasks are moved away.
const SLOW_SPEED_MAX: f64 = 0.5;

/// Speed of a host from which on tasks are moved there.
const NEW_SPEED_MIN: f64 = 0.75;

/// Progress from which on an attempt's own speed tells when it ends, in percent.
const PERCENT_MIN: u8 = 5;

/// Time that a move takes, with the work that is done again, in milliseconds.
const MOVE_MS: f64 = 2_000.0;

/// Multiple of the time elsewhere that a task must still take for a move to pay.
const REMAINING_FACTOR: f64 = 2.0;

/// Maximum number of tasks that one search moves.
const MOVES_MAX: usize = 4;

impl Scheduler {
    /// Stops tasks on slow hosts that continue from their checkpoints elsewhere, where room is idle.
    pub(super) fn move_stragglers(&mut self, now: Time) {
        if now < self.next_straggler_search_at || !self.is_owner(now) {
            return;
        }
        self.next_straggler_search_at = now.plus_micros(SEARCH_INTERVAL_MICROS);
        let hosts = self.host_speeds.iter();
        let slow = hosts.filter(|(_, speed)| speed.ratio(now) <= SLOW_SPEED_MAX);
        let slow: Vec<HostKey> = slow.map(|(key, _)| key).collect();
        let runs = slow.into_iter().filter_map(|key| self.hosts.get(key));
        let runs: Vec<RunKey> = runs.flat_map(|host| host.runs.iter().copied()).collect();
        let mut moves = 0;
        for run in runs {
            if moves < MOVES_MAX && self.is_move_worth_it(run, now) {
                self.move_straggler(run, now);
                moves += 1;
            }
        }
    }

    fn is_move_worth_it(&self, key: RunKey, now: Time) -> bool {
        let Some(run) = self.runs.get(key).filter(|run| run.is_active()) else {
            return false;
        };
        let Some(job) = self.jobs.get(run.job).filter(|job| !job.state.is_over()) else {
            return false;
        };
        let (Some(step), Some(task)) = (job.step(run.place), job.task(run.place)) else {
            return false;
        };
        let is_movable = step.has_checkpoints
            && !step.is_perpetual
            && !step.is_gang
            && !step.uses_idle
            && !step.may_have_copies();
        let is_saved = task.checkpoint.is_some() && task.phase == Phase::Running(key);
        if !is_movable || !is_saved || !self.ends_much_sooner_elsewhere(run, now) {
            return false;
        }
        let pool = self.pool(job);
        if self.is_room_wanted(pool, now) {
            return false;
        }
        let spec: &Spec = &job.spec;
        let Some(index) = job.stage_index(run.place) else {
            return false;
        };
        let stage = StageRef {
            job: run.job,
            index,
            step: &spec.steps[usize::from(run.place.step)],
            pool,
            image: run.image,
            accepts_any_speed: false,
        };
        let is_better = |host: HostKey| {
            host != run.host
                && self.host_speed(host, now) >= NEW_SPEED_MIN
                && self.host_score(host, stage, now).is_some()
        };
        self.hosts.keys().any(is_better)
    }

    fn ends_much_sooner_elsewhere(&self, run: &Run, now: Time) -> bool {
        if run.is_adopted || run.done_percent < PERCENT_MIN {
            return false;
        }
        let done = f64::from(run.done_percent);
        let elapsed_ms = now.micros_since(run.started_at) as f64 / 1_000.0;
        let here_ms = elapsed_ms * (100.0 - done) / done;
        let elsewhere_ms = here_ms * self.host_speed(run.host, now) + MOVE_MS;
        here_ms >= elsewhere_ms * REMAINING_FACTOR
    }

    fn move_straggler(&mut self, key: RunKey, now: Time) {
        let Some(run) = self.runs.get(key) else {
            return;
        };
        let (job, place, host, attempt) = (run.job, run.place, run.host, run.attempt);
        let Some(task) = self.jobs.get(job).map(|job| job.task_id(place)) else {
            return;
        };
        self.events.push(Event::MovedFromSlowHost {
            task,
            attempt,
            host: self.hosts[host].name.clone(),
            speed_percent: (self.host_speed(host, now) * 100.0) as u32,
        });
        self.avoid_host(job, place, host);
        self.stop_run(key);
    }
}
