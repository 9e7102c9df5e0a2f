//! State machine of a cell owner: jobs, attempts and leases for the tasks of the cell's workers.

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

/// Identifies a call, so that the caller can match the answer to it.
pub type Token = u64;

/// State machine of a cell's owner, which places the tasks of its jobs on the cell's workers.
///
/// Jobs, completions, checkpoints and cancellations are durable: [`Cell::take_writes`] returns what
/// the caller has to write to the store, and nothing is acknowledged before the caller has
/// confirmed the write with [`Cell::write_succeeded`]. Which task runs on which worker is soft
/// state, rebuilt from the companions' reports.
#[derive(Debug, Clone)]
pub struct Cell {
    settings: Settings,
    epoch: Epoch,
    /// End of the ownership, on the process's own clock.
    ownership_until: Time,
    is_deposed: bool,
    /// Configuration revision that the owner holds.
    revision: Revision,
    /// Highest configuration revision that is known to exist.
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
    /// When every lease that the former owner can have granted has ended. Until then, the owner
    /// adopts attempts that companions report, but starts no task of the jobs that it took over.
    takeover_complete_at: Time,
    /// Jobs whose tasks wait for `takeover_complete_at`.
    jobs_awaiting_takeover: Vec<JobKey>,
    segments: Vec<Segment>,
    /// Ends of attempts that no segment has room to record at the moment.
    deferred_endings: VecDeque<Ending>,
    /// Jobs with durable cancellations that are not acknowledged yet.
    pending_cancellations: Vec<JobKey>,
    answers: Vec<(Token, Reply)>,
    /// Until this time, calls that need a write are refused, because the last write failed.
    refuse_until: Time,
    next_sweep_at: Time,
    /// Numbers of the invariants in `docs/design.md` that rejected starts would have violated.
    violations: Vec<u8>,
}

impl Cell {
    /// Sets the time at which the ownership of the cell ends, on the process's own clock.
    ///
    /// After that time, no call is answered and no lease is granted or renewed, until a later time
    /// is set.
    pub const fn extend_ownership(&mut self, until: Time) {
        self.ownership_until = until;
    }

    /// Sets the wall-clock time at `now`, in milliseconds since the Unix epoch. The deadlines of
    /// jobs are compared with it.
    pub const fn set_wall_clock(&mut self, unix_ms: u64, now: Time) {
        self.queue.set_wall_clock(unix_ms, now);
    }

    /// Applies the teams' configuration sections. `held` is their revision and `known` the highest
    /// revision known to exist.
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

    /// Records that a configuration revision as high as `known` exists.
    pub fn observe_revision(&mut self, known: Revision) {
        self.revision_known = self.revision_known.max(known);
    }

    /// Records that another process owns the cell, and refuses all calls that were not answered.
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

    /// Submits a job. The answer with `token` follows once the job is durable.
    pub fn submit(&mut self, spec: Spec, token: Token, now: Time) {
        if let Err(error) = self.try_submit(spec, token, now) {
            self.answers.push((token, Reply::Refused(error)));
        }
    }

    /// Cancels a job. The answer with `token` follows once the cancellation is durable and no start
    /// of the job's tasks can take effect any more.
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

    /// Returns and removes the answers to calls that are due.
    ///
    /// Returns nothing while the process may have lost the ownership, because the next owner may
    /// have taken over from a state without the call.
    pub fn take_answers(&mut self, now: Time) -> Vec<(Token, Reply)> {
        if !self.is_deposed && now >= self.ownership_until {
            return Vec::new();
        }
        self.answer_cancellations(now);
        std::mem::take(&mut self.answers)
    }

    /// Handles a companion's report and returns the answer, unless the report is outdated.
    ///
    /// Callers that delay answers use [`Cell::receive_report`] and [`Cell::take_commands`] instead.
    pub fn exchange(&mut self, report: &Report, now: Time) -> Option<Command> {
        if !self.receive_report(report, now) {
            return None;
        }
        self.tick(now);
        let worker = *self.worker_ids.get(&report.worker)?;
        self.answer_report(worker, now)
    }

    /// Expires leases and waits, places waiting tasks, and removes ended jobs and silent workers.
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

    /// Stops a task with a checkpoint so that it resumes later. Returns whether it was running.
    pub fn evict(&mut self, task: &task::Id) -> bool {
        let run = self.find_run(task);
        if let Some(run) = run {
            self.request_stop(run, true);
        }
        run.is_some()
    }

    /// Limits a task to a share of its processors, in percent. Returns whether it was running.
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

    /// Returns and removes the numbers of the invariants that starts would have violated. Such a
    /// start is not made, and the caller reports it as a bug.
    pub fn take_violations(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.violations)
    }

    /// Returns the epoch of this owner.
    #[must_use]
    pub const fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns whether a companion or the store has shown that another process owns the cell.
    #[must_use]
    pub const fn is_deposed(&self) -> bool {
        self.is_deposed
    }

    /// Returns whether a newer configuration revision is known than the one held.
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
        job.status(self.queue.unschedulable_reason(&job.spec))
    }

    fn check_owner(&self, now: Time) -> Result<(), Error> {
        if !self.is_owner(now) {
            return Err(Error::new(ErrorKind::NoOwner)
                .context("this process may have lost the ownership of the cell"));
        }
        Ok(())
    }

    fn check_store(&self, now: Time) -> Result<(), Error> {
        if now < self.refuse_until {
            return Err(Error::new(ErrorKind::StoreUnavailable)
                .context("the last write to the store failed"));
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
                "the owner does not hold configuration revision {} yet",
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

    /// Answers the submission of an id that exists: with its status if the spec is the same, with a
    /// conflict otherwise.
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

    /// Removes a cancelled job's tasks from the queue and stops its attempts.
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

    /// Answers the durable cancellations of jobs whose tasks can't start any more.
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
