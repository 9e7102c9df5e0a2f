//! State of a cell owner: jobs, attempts and leases of the tasks of its workers.

mod durability;
mod effect;
mod ending;
mod job_state;
mod key;
mod placement;
mod queue;
mod receive;
mod record;
mod reply;
mod run;
mod segment;
mod settings;
mod takeover;
mod task_set;
mod task_state;
mod value;
mod worker_state;
mod write;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use foldhash::HashMap;
use slotmap::SlotMap;
use toucanquay_model::{
    Epoch, Error, ErrorKind, Revision, Section, Time,
    exchange::{Command, Report},
    job::{self, Reply, Spec, Status},
    section, task, worker,
};

use effect::Effect;
use ending::Ending;
use job_state::Job;
use key::{JobKey, RunKey, TaskKey, WorkerKey};
use queue::Queue;
use run::Run;
use segment::Segment;
pub use settings::Settings;
use task_set::TaskSet;
use task_state::Phase;
pub use value::raise_epoch;
use worker_state::WorkerState;
pub use write::Write;

/// Number by which the caller recognises the answer to a call.
pub type Token = u64;

/// Owner of a cell: places the tasks of its jobs on its workers.
///
/// Jobs, completions, checkpoints and cancellations are durable; [`Cell::take_writes`] gives out
/// what the caller writes, and nothing is acknowledged before [`Cell::write_succeeded`] has confirmed it.
/// Which task runs where is soft state, rebuilt from the reports of the companions.
#[derive(Debug, Clone)]
pub struct Cell {
    settings: Settings,
    epoch: Epoch,
    /// Until when the process holds the role, by its own clock.
    ownership_until: Time,
    is_deposed: bool,
    revision: Revision,
    revision_known: Revision,
    sections: BTreeMap<String, Section>,
    jobs: SlotMap<JobKey, Job>,
    job_ids: HashMap<job::Id, JobKey>,
    next_order: u64,
    workers: SlotMap<WorkerKey, WorkerState>,
    worker_ids: HashMap<worker::Id, WorkerKey>,
    runs: SlotMap<RunKey, Run>,
    queue: Queue,
    backoffs: BTreeSet<(Time, TaskKey)>,
    /// End of the wait after the takeover, and the jobs whose tasks wait for it.
    takeover_complete_at: Time,
    jobs_awaiting_takeover: Vec<JobKey>,
    segments: Vec<Segment>,
    /// Ends for whose records no segment has room at the moment.
    deferred_endings: VecDeque<Ending>,
    /// Jobs with cancellations that are not acknowledged.
    pending_cancellations: Vec<JobKey>,
    answers: Vec<(Token, Reply)>,
    refuse_until: Time,
    next_sweep_at: Time,
    /// Numbers of the invariants that a start would have broken.
    violations: Vec<u8>,
}

impl Cell {
    /// Takes in until when the process holds the role, by its own clock.
    ///
    /// From then on nothing is answered, granted or renewed, unless a later time is given.
    pub const fn extend_ownership(&mut self, until: Time) {
        self.ownership_until = until;
    }

    /// Takes in the wall-clock time at `now`, in milliseconds since the Unix epoch, which the
    /// deadlines of jobs are compared with.
    pub const fn set_wall_clock(&mut self, unix_ms: u64, now: Time) {
        self.queue.set_wall_clock(unix_ms, now);
    }

    /// Takes in the teams' sections, the revision that they are of and the highest known one.
    pub fn configure(
        &mut self,
        sections: BTreeMap<String, Section>,
        held: Revision,
        known: Revision,
    ) {
        if held >= self.revision {
            self.revision = held;
            let former = std::mem::replace(&mut self.sections, sections);
            for team in former.keys() {
                if !self.sections.contains_key(team) {
                    self.queue.configure(team, &Section::default());
                }
            }
            for (team, section) in &self.sections {
                self.queue.configure(team, section);
            }
        }
        self.observe_revision(known.max(held));
    }

    /// Takes in that the configuration has a revision as high as `known`.
    pub fn observe_revision(&mut self, known: Revision) {
        self.revision_known = self.revision_known.max(known);
    }

    /// Takes in that another process owns the cell. Calls without an answer are refused.
    pub fn mark_deposed(&mut self) {
        self.is_deposed = true;
        let mut tokens = Vec::new();
        for segment in &mut self.segments {
            for (_, effect) in segment.effects.drain(..) {
                if let Effect::Accept { token, .. } | Effect::Cancel { token, .. } = effect {
                    tokens.push(token);
                }
            }
        }
        for key in self.pending_cancellations.drain(..) {
            if let Some(job) = self.jobs.get_mut(key) {
                tokens.append(&mut job.durable_cancellations);
            }
        }
        let error = Error::new(ErrorKind::OutcomeUnknown).context("another process owns the cell");
        for token in tokens {
            self.answers.push((token, Reply::Refused(error.clone())));
        }
    }

    /// Accepts a job. The answer with `token` follows the durable write.
    pub fn submit(&mut self, spec: Spec, token: Token, now: Time) {
        if let Err(error) = self.try_submit(spec, token, now) {
            self.answers.push((token, Reply::Refused(error)));
        }
    }

    /// Cancels a job. The answer with `token` follows the durable write, and the time at which no
    /// start of the job's tasks can take effect any more.
    pub fn cancel(&mut self, id: &job::Id, token: Token, now: Time) {
        if let Err(error) = self.try_cancel(id, token, now) {
            self.answers.push((token, Reply::Refused(error)));
        }
    }

    /// Returns the status of a job.
    #[must_use]
    pub fn job_status(&self, id: &job::Id) -> Option<Status> {
        let job = self.jobs.get(*self.job_ids.get(id)?)?;
        job.is_durable.then(|| self.status(job))
    }

    /// Returns the status of all jobs, ordered by id.
    #[must_use]
    pub fn job_statuses(&self) -> Vec<Status> {
        let mut list: Vec<Status> = self
            .jobs
            .values()
            .filter(|job| job.is_durable)
            .map(|job| self.status(job))
            .collect();
        list.sort_by(|a, b| a.id.cmp(&b.id));
        list
    }

    /// Takes the answers to calls that are due.
    ///
    /// Nothing is answered while the process may have lost the role, because another process may
    /// have taken over from a state that lacks the call.
    pub fn take_answers(&mut self, now: Time) -> Vec<(Token, Reply)> {
        if !self.is_deposed && now >= self.ownership_until {
            return Vec::new();
        }
        self.answer_cancellations(now);
        std::mem::take(&mut self.answers)
    }

    /// Takes in a report and gives the answer at once, if there is one.
    ///
    /// A caller that holds answers back uses [`Cell::receive_report`] and [`Cell::take_commands`].
    pub fn exchange(&mut self, report: &Report, now: Time) -> Option<Command> {
        if !self.receive_report(report, now) {
            return None;
        }
        self.tick(now);
        let worker = *self.worker_ids.get(&report.worker)?;
        self.answer_report(worker, now)
    }

    /// Does what is due: ends leases, ends waits, places tasks, forgets what is over.
    pub fn tick(&mut self, now: Time) {
        self.queue.advance(now);
        self.expire_leases(now);
        self.end_expired_waits(now);
        self.place_waiting_tasks(now);
        if now >= self.next_sweep_at {
            self.next_sweep_at = now.plus_millis(10_000);
            self.sweep(now);
        }
    }

    /// Evicts a task: it is stopped with a checkpoint and resumed later. Returns whether it runs.
    pub fn evict(&mut self, task: &task::Id) -> bool {
        let run = self.find_run(task);
        if let Some(run) = run {
            self.request_stop(run, true);
        }
        run.is_some()
    }

    /// Slows a task down to a share of its processors, in percent. Returns whether it runs.
    pub fn throttle(&mut self, task: &task::Id, share_percent: u8) -> bool {
        let Some(key) = self.find_run(task) else {
            return false;
        };
        let Some(run) = self.runs.get_mut(key) else {
            return false;
        };
        run.pending_throttle = Some(share_percent);
        if let Some(worker_state) = self.workers.get_mut(run.worker) {
            worker_state.is_answer_urgent = true;
        }
        true
    }

    /// Takes the numbers of the invariants that a start would have broken. It was not made, and the
    /// caller reports it as a fault of the program.
    pub fn take_violations(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.violations)
    }

    /// Returns the epoch.
    #[must_use]
    pub const fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Tells whether a companion or the store has shown that another process owns the cell.
    #[must_use]
    pub const fn is_deposed(&self) -> bool {
        self.is_deposed
    }

    /// Tells whether a newer configuration is known than the one held.
    #[must_use]
    pub const fn is_stale(&self) -> bool {
        self.revision_known > self.revision
    }

    /// Returns how many attempts hold a lease.
    #[must_use]
    pub fn running_attempts(&self) -> usize {
        self.runs.len()
    }

    /// Returns how many workers are known.
    #[must_use]
    pub fn worker_count(&self) -> usize {
        self.workers.len()
    }

    const fn is_owner(&self, now: Time) -> bool {
        !self.is_deposed && now.as_micros() < self.ownership_until.as_micros()
    }

    fn find_run(&self, task: &task::Id) -> Option<RunKey> {
        let job = self.jobs.get(*self.job_ids.get(&task.job)?)?;
        match job.tasks.get(task.index as usize)?.phase {
            Phase::Running(run) => Some(run),
            _ => None,
        }
    }

    fn status(&self, job: &Job) -> Status {
        job.status(self.queue.unfit(&job.spec))
    }

    fn check_owner(&self, now: Time) -> Result<(), Error> {
        if !self.is_owner(now) {
            return Err(Error::new(ErrorKind::NoOwner).context("the process may not own the cell"));
        }
        Ok(())
    }

    fn check_store(&self, now: Time) -> Result<(), Error> {
        if now < self.refuse_until {
            return Err(Error::new(ErrorKind::StoreUnavailable).context("the last write failed"));
        }
        Ok(())
    }

    fn try_submit(&mut self, spec: Spec, token: Token, now: Time) -> Result<(), Error> {
        self.check_owner(now)?;
        spec.check()?;
        if let Some(key) = self.job_ids.get(&spec.id) {
            return self.answer_repeated_submission(*key, &spec, token);
        }
        self.check_store(now)?;
        if self.is_stale() {
            return Err(Error::new(ErrorKind::NoOwner).context(format!(
                "the owner waits for configuration revision {}",
                self.revision_known
            )));
        }
        match self.sections.get(&spec.team).map(|section| section.state) {
            None => {
                return Err(Error::new(ErrorKind::UnknownTeam)
                    .field("team")
                    .value(&spec.team));
            }
            Some(section::State::Leaving) => {
                return Err(Error::new(ErrorKind::Leaving)
                    .field("team")
                    .value(&spec.team));
            }
            Some(section::State::Present) => {}
        }
        let job = Job::new(spec, self.next_order, now);
        self.next_order += 1;
        self.insert_job(job, token)
    }

    fn answer_repeated_submission(
        &mut self,
        key: JobKey,
        spec: &Spec,
        token: Token,
    ) -> Result<(), Error> {
        let Some(job) = self.jobs.get(key) else {
            return Ok(());
        };
        if job.spec != *spec {
            return Err(Error::new(ErrorKind::JobConflict)
                .field("id")
                .value(&spec.id));
        }
        let segment = job.segment;
        if job.is_durable {
            self.answer_status(key, token);
        } else {
            self.run_after_write(segment, Effect::Accept { job: key, token });
        }
        Ok(())
    }

    fn try_cancel(&mut self, id: &job::Id, token: Token, now: Time) -> Result<(), Error> {
        self.check_owner(now)?;
        let unknown = || Error::new(ErrorKind::UnknownJob).field("id").value(id);
        let key = *self.job_ids.get(id).ok_or_else(unknown)?;
        let job = self.jobs.get_mut(key).ok_or_else(unknown)?;
        let segment = job.segment;
        let effect = Effect::Cancel { job: key, token };
        if job.is_cancelled {
            self.run_after_write(segment, effect);
            return Ok(());
        }
        self.check_store(now)?;
        self.cancel_tasks(key);
        self.record_change(segment, Some(effect));
        Ok(())
    }

    /// Takes a cancelled job's tasks out of the queue and orders its attempts to stop.
    fn cancel_tasks(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        job.is_cancelled = true;
        self.queue.remove_job(&job.spec);
        let mut runs = Vec::new();
        for (index, task) in (0..).zip(&mut job.tasks) {
            match task.phase {
                Phase::Running(run) => runs.push(run),
                Phase::Backoff(until) => {
                    self.backoffs.remove(&(until, TaskKey { job: key, index }));
                    task.phase = Phase::Waiting;
                }
                Phase::Waiting | Phase::Ending | Phase::Done => {}
            }
        }
        for run in runs {
            self.request_stop(run, false);
        }
    }

    /// Answers the durable cancellations of jobs of which no task can start any more.
    fn answer_cancellations(&mut self, now: Time) {
        let keys = std::mem::take(&mut self.pending_cancellations);
        for key in keys {
            let Some(job) = self.jobs.get_mut(key) else {
                continue;
            };
            if job.unconfirmed > 0 || now < job.unknown_attempts_until {
                self.pending_cancellations.push(key);
                continue;
            }
            for token in std::mem::take(&mut job.durable_cancellations) {
                self.answer_status(key, token);
            }
        }
    }

    fn answer_status(&mut self, key: JobKey, token: Token) {
        if let Some(job) = self.jobs.get(key) {
            let reply = Reply::One(self.status(job));
            self.answers.push((token, reply));
        }
    }
}
