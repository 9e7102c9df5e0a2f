//! Table of the runtime's tasks, with records of their runs and usage.

mod call_error;

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use tokio::time::Instant;
use toucanquay_model::{Attempt, Resources, task::Id};

pub(super) use call_error::CallError;

use super::{RunInterval, StartRequest, State, Task, TaskUsage, UsageSample};

/// Time between two measurements of usage.
pub(super) const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum number of usage samples kept, enough for a usage lag of two minutes.
const SAMPLES_MAX: usize = 1_200;

/// Tasks by id with their history, and the injected faults.
#[derive(Debug, Default)]
pub(super) struct TaskTable {
    tasks: BTreeMap<Id, Task>,
    samples: VecDeque<UsageSample>,
    paused_at: Option<Instant>,
    pub(super) is_failing: bool,
    pub(super) is_unavailable: bool,
    pub(super) usage_lag: Duration,
    pub(super) intervals: Vec<RunInterval>,
    pub(super) peak_resources: Resources,
}

impl TaskTable {
    pub(super) const fn is_paused(&self) -> bool {
        self.paused_at.is_some()
    }

    pub(super) fn tasks(&self) -> impl Iterator<Item = (&Id, &Task)> {
        self.tasks.iter()
    }

    pub(super) fn state(&self, id: &Id) -> Option<State> {
        self.tasks.get(id).map(|task| task.state)
    }

    pub(super) fn running_count(&self) -> usize {
        self.tasks.values().filter(|task| task.is_running()).count()
    }

    /// Advances all tasks to `now`, ends those that are complete or whose lease has expired, and
    /// measures usage if a sample is due. Does nothing during a pause.
    pub(super) fn advance(&mut self, now: Instant) {
        if self.is_paused() {
            return;
        }
        for task in self.tasks.values_mut() {
            if let Some(ended_at) = task.advance(now) {
                self.intervals[task.interval_index].ended_at = Some(ended_at);
            }
        }
        let last = self.samples.back().map(|sample| sample.taken_at);
        if last.is_none_or(|last| now - last >= SAMPLE_INTERVAL) {
            self.measure_usage(now);
        }
    }

    /// Starts an attempt. Starting an attempt that is running already has no effect.
    pub(super) fn start(
        &mut self,
        id: &Id,
        start: StartRequest,
        now: Instant,
    ) -> Result<(), CallError> {
        if let Some(task) = self.tasks.get(id) {
            if task.is_running() && task.attempt == start.attempt() {
                return Ok(());
            }
            if task.is_running() || start.attempt() <= task.attempt {
                return Err(CallError::Conflict(task.attempt));
            }
        }
        let mut task = Task::new(start, now);
        task.interval_index = self.intervals.len();
        self.begin_interval(id, task.attempt, now);
        if self.is_failing {
            task.state = State::Failed;
            task.reason = Some("the runtime is set to fail every task".to_owned());
            self.intervals[task.interval_index].ended_at = Some(now);
        }
        self.tasks.insert(id.clone(), task);
        let running = self.tasks.values().filter(|task| task.is_running());
        let used = running.fold(Resources::ZERO, |sum, task| sum.plus(&task.resources));
        self.peak_resources = self.peak_resources.max(&used);
        Ok(())
    }

    /// Extends the lease of a running attempt. Never moves its deadline to an earlier time.
    pub(super) fn renew(
        &mut self,
        id: &Id,
        attempt: Attempt,
        lease: Duration,
        now: Instant,
    ) -> Result<(), CallError> {
        let task = self.find(id, Some(attempt))?;
        if !task.is_running() {
            return Err(CallError::Conflict(task.attempt));
        }
        task.lease_deadline = task.lease_deadline.max(now + lease);
        Ok(())
    }

    pub(super) fn checkpoint(&mut self, id: &Id) -> Result<String, CallError> {
        Ok(self.find(id, None)?.checkpoint())
    }

    pub(super) fn throttle(&mut self, id: &Id, share_percent: u32) -> Result<(), CallError> {
        self.find(id, None)?.share_percent = share_percent.min(100);
        Ok(())
    }

    /// Stops a running attempt, which stays listed. Stopping an ended attempt without a checkpoint
    /// removes it from the list, because the caller no longer needs its result.
    pub(super) fn stop(
        &mut self,
        id: &Id,
        attempt: Attempt,
        with_checkpoint: bool,
        now: Instant,
    ) -> Result<Option<String>, CallError> {
        let task = self.find(id, Some(attempt))?;
        let checkpoint = with_checkpoint.then(|| task.checkpoint());
        if task.is_running() {
            task.state = State::Stopped;
            let interval_index = task.interval_index;
            self.intervals[interval_index].ended_at = Some(now);
        } else if !with_checkpoint {
            self.tasks.remove(id);
        }
        Ok(checkpoint)
    }

    /// Returns the newest usage sample that is at least as old as the usage lag.
    pub(super) fn usage(&self, now: Instant) -> Option<&UsageSample> {
        let old_enough = |sample: &&UsageSample| now - sample.taken_at >= self.usage_lag;
        self.samples.iter().rev().find(old_enough)
    }

    pub(super) fn set_paused(&mut self, is_paused: bool) {
        let now = Instant::now();
        match (self.paused_at, is_paused) {
            (None, true) => {
                self.paused_at = Some(now);
                self.end_intervals(now);
            }
            (Some(paused_at), false) => {
                self.paused_at = None;
                self.resume(paused_at, now);
            }
            _ => {}
        }
    }

    /// Ends the current interval of every running task.
    fn end_intervals(&mut self, now: Instant) {
        for task in self.tasks.values().filter(|task| task.is_running()) {
            self.intervals[task.interval_index].ended_at = Some(now);
        }
    }

    /// Resumes the tasks after a pause. Tasks whose lease expired during the pause lapse instead,
    /// with the progress that they had made by its start.
    fn resume(&mut self, paused_at: Instant, now: Instant) {
        let mut resumed = Vec::new();
        for (id, task) in self.tasks.iter_mut().filter(|(_, task)| task.is_running()) {
            if task.lease_deadline <= now {
                task.advance(paused_at);
                task.state = State::Lapsed;
            } else {
                task.skip_until(now);
                resumed.push(id.clone());
            }
        }
        for id in resumed {
            let index = self.intervals.len();
            if let Some(task) = self.tasks.get_mut(&id) {
                task.interval_index = index;
                let attempt = task.attempt;
                self.begin_interval(&id, attempt, now);
            }
        }
    }

    fn begin_interval(&mut self, id: &Id, attempt: Attempt, now: Instant) {
        self.intervals.push(RunInterval {
            task: id.clone(),
            attempt,
            started_at: now,
            ended_at: None,
        });
    }

    /// Returns a listed task, and checks its attempt if one is given.
    fn find(&mut self, id: &Id, attempt: Option<Attempt>) -> Result<&mut Task, CallError> {
        let task = self.tasks.get_mut(id).ok_or(CallError::UnknownTask)?;
        if attempt.is_some_and(|attempt| attempt != task.attempt) {
            return Err(CallError::Conflict(task.attempt));
        }
        Ok(task)
    }

    fn measure_usage(&mut self, now: Instant) {
        let running = self.tasks.iter().filter(|(_, task)| task.is_running());
        let tasks = running.map(|(id, task)| task_usage(id, task)).collect();
        self.samples.push_back(UsageSample {
            taken_at: now,
            tasks,
        });
        if self.samples.len() > SAMPLES_MAX {
            self.samples.pop_front();
        }
    }
}

fn task_usage(id: &Id, task: &Task) -> TaskUsage {
    let processors = task.payload.uses_processors_milli;
    let processors = processors.unwrap_or(task.resources.processors_milli);
    let memory = task.payload.uses_memory_mb;
    TaskUsage {
        job: id.job.0.clone(),
        index: id.index,
        epoch: task.attempt.epoch,
        number: task.attempt.number,
        processors_milli: processors.saturating_mul(task.share_percent) / 100,
        memory_mb: memory.unwrap_or(task.resources.memory_mb),
    }
}
