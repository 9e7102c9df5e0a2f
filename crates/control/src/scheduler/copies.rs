//! What is known about copies: second attempts of tasks whose steps allow several at once.
//!
//! The first attempt to be done counts, and the other one is stopped. If one of them ends otherwise
//! or is lost, the other goes on. A task has at most one copy at a time. Copies are started by the
//! search for late tasks; a new owner adopts both attempts.

use std::collections::BTreeSet;

use foldhash::HashMap;
use toucanquay_model::{
    Time,
    graph::{Place, Step},
};
use toucanquay_policy::duration::Forecast;

use super::{
    Event, Job, Scheduler,
    key::{HostKey, JobKey, RunKey},
    learned::Learned,
    stage::Stage,
    task::{Phase, Task},
};

/// Maximum number of programs of which something is learned.
const PROGRAMS_MAX: usize = 512;

/// Jobs whose tasks may have copies, and what ended attempts have told.
#[derive(Debug, Default)]
pub(super) struct Copies {
    pub(super) jobs: BTreeSet<JobKey>,
    /// When late tasks are searched next.
    pub(super) next_search_at: Time,
    /// By the image of a step, or by the queue of the job if the step names none.
    programs: HashMap<String, Learned>,
}

impl Copies {
    pub(super) fn learned(&self, program: &str) -> Option<&Learned> {
        self.programs.get(program)
    }

    /// Returns what is learned of a program, or `None` if there are too many of them.
    pub(super) fn learned_mut(&mut self, program: &str) -> Option<&mut Learned> {
        if !self.programs.contains_key(program) {
            if self.programs.len() >= PROGRAMS_MAX {
                return None;
            }
            self.programs.insert(program.to_owned(), Learned::default());
        }
        self.programs.get_mut(program)
    }
}

impl Job {
    /// Returns whether a task may have several attempts at once.
    pub(super) fn may_have_copies(&self, place: Place) -> bool {
        self.step(place).is_some_and(Step::may_have_copies)
    }

    /// Returns the name under which the durations of a step's tasks are learned.
    pub(super) fn program<'a>(&'a self, step: &'a Step) -> &'a str {
        step.image.as_deref().unwrap_or(&self.queue)
    }
}

impl Scheduler {
    /// Includes a job in the searches for late tasks, if its tasks may have copies.
    pub(super) fn watch_for_copies(&mut self, key: JobKey) {
        let job = self.jobs.get(key).filter(|job| !job.state.is_over());
        if job.is_some_and(|job| job.spec.steps.iter().any(Step::may_have_copies)) {
            self.copies.jobs.insert(key);
        }
    }

    /// Returns whether an attempt of a task that is found on a host may go on: the only one, or a
    /// second one where copies are allowed.
    pub(super) fn is_attempt_wanted(&self, key: JobKey, place: Place, host: HostKey) -> bool {
        let Some(job) = self.jobs.get(key).filter(|job| !job.state.is_over()) else {
            return false;
        };
        let Some(task) = job.task(place) else {
            return false;
        };
        match task.phase {
            Phase::Waiting => true,
            Phase::Running(first) => {
                let is_elsewhere = self.runs.get(first).is_some_and(|run| run.host != host);
                job.may_have_copies(place) && task.copy.is_none() && is_elsewhere
            }
            Phase::Done => false,
        }
    }

    /// Learns from an attempt that is done, before it is released.
    pub(super) fn learn_from(&mut self, key: RunKey, now: Time) {
        let Some(run) = self.runs.get(key) else {
            return;
        };
        let (job_key, place, host) = (run.job, run.place, run.host);
        let (is_copy, attempt) = (run.is_copy, run.attempt);
        let duration_ms = now.micros_since(run.started_at) / 1_000;
        let is_start_known = !run.is_adopted;
        let Some(job) = self.jobs.get_mut(job_key) else {
            return;
        };
        let spec = job.spec.clone();
        let step = spec.steps.get(usize::from(place.step));
        let Some(step) = step.filter(|step| !step.is_perpetual && !step.is_gang) else {
            return;
        };
        let task = job.task_id(place);
        let typical_ms = job.stage_mut(place).and_then(|stage| {
            let typical_ms = stage.siblings.quantile_ms(0.5);
            if is_start_known {
                stage.siblings.record(duration_ms);
            }
            typical_ms
        });
        let program = job.program(step);
        if let Some(learned) = self.copies.learned_mut(program) {
            if is_start_known {
                learned.ratios.record(step.estimate_ms, duration_ms);
            }
            if is_copy {
                learned.trials.record(true);
            }
        }
        if is_copy {
            self.events.push(Event::CopyWon {
                task,
                attempt,
                host: self.hosts[host].name.clone(),
            });
        }
        if let Some(typical_ms) = typical_ms.filter(|_| is_start_known && !step.uses_idle) {
            self.learn_speed(host, typical_ms, duration_ms, now);
        }
    }

    fn learn_speed(&mut self, host: HostKey, typical_ms: u64, duration_ms: u64, now: Time) {
        if let Some(speed) = self.host_speeds.entry(host) {
            speed.or_default().record(typical_ms, duration_ms, now);
        }
    }

    /// Returns the speed of a host as a ratio to that of the others.
    pub(super) fn host_speed(&self, host: HostKey, now: Time) -> f64 {
        let speed = self.host_speeds.get(host);
        speed.map_or(1.0, |speed| speed.ratio(now))
    }

    /// Counts an attempt that is stopped because its task is done, if it is a copy.
    pub(super) fn count_lost_copy(&mut self, key: RunKey) {
        let Some(run) = self.runs.get(key).filter(|run| run.is_copy) else {
            return;
        };
        let (host, attempt) = (run.host, run.attempt);
        let Some(job) = self.jobs.get(run.job) else {
            return;
        };
        let task = job.task_id(run.place);
        if let Some(step) = job.step(run.place)
            && let Some(learned) = self.copies.learned_mut(job.program(step))
        {
            learned.trials.record(false);
        }
        self.events.push(Event::CopyLost {
            task,
            attempt,
            host: self.hosts[host].name.clone(),
        });
    }

    /// Returns what is expected of the attempts of a stage, from those that are done and those that
    /// run.
    pub(super) fn forecast(&self, job: &Job, stage: &Stage, step: &Step, now: Time) -> Forecast {
        let mut siblings = stage.siblings.clone();
        let first = |task: &Task| task.runs().next();
        for run in stage.tasks.iter().filter_map(first) {
            if let Some(run) = self.runs.get(run).filter(|run| !run.is_adopted) {
                let elapsed_ms = now.micros_since(run.started_at) / 1_000;
                siblings.foresee(elapsed_ms, run.done_percent);
            }
        }
        let learned = self.copies.learned(job.program(step));
        Forecast::new(
            step.estimate_ms,
            &siblings,
            learned.map(|learned| &learned.ratios),
        )
    }
}
