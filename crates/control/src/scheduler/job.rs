//! State of one job.

use std::sync::Arc;

use smallvec::SmallVec;
use toucanquay_model::{
    Revision, Time,
    graph::{self, AcceptedJob, Id, Place, Progress, Queue, State, Step, TaskProgress},
};

use super::{
    key::RunKey,
    stage::Stage,
    task::{Phase, Task},
};

/// Share that stands for the whole, in thousandths.
const WHOLE_PERMILLE: u32 = 1_000;

/// Job with the state of its stages and tasks.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) id: Id,
    pub(super) queue: String,
    /// Settings of the queue when the job was accepted. They apply if the queue is not configured.
    pub(super) queue_at_acceptance: Queue,
    pub(super) payload: Arc<str>,
    pub(super) spec: Arc<graph::Job>,
    /// Length of the critical path by estimated run times, in milliseconds.
    pub(super) critical_path_ms: u64,
    /// A step runs until the job is cancelled.
    pub(super) is_perpetual: bool,
    pub(super) accepted_unix_ms: u64,
    /// The job was persisted before this owner took over, so a former owner may have started some
    /// of its tasks.
    pub(super) is_inherited: bool,
    /// A task of the job has been placed by this owner or was adopted by it.
    pub(super) is_started: bool,
    /// Number of attempts that are or may be on a worker.
    pub(super) runs: usize,
    /// Length of the critical path through the steps that are not complete, by estimated run times,
    /// in milliseconds. That of a job with several occurrences counts as whole.
    pub(super) remaining_path_ms: u64,
    /// Share of its work, by estimated run times, in the tasks that aren't done, in thousandths.
    pub(super) remaining_work_permille: u32,
    pub(super) stages: Vec<Stage>,
    /// Number of scheduled occurrences that were due so far.
    pub(super) opened_occurrences: u32,
    pub(super) state: State,
    pub(super) reason: Option<String>,
    pub(super) over_at: Option<Time>,
    pub(super) over_unix_ms: Option<u64>,
    /// Number of the last change that must be recorded.
    pub(super) version: u64,
    /// Number of the last change that has been recorded.
    pub(super) recorded_version: u64,
    /// Revision of the record; 0 if there is none.
    pub(super) revision: Revision,
}

impl Job {
    pub(super) fn new(id: Id, accepted_job: AcceptedJob, is_inherited: bool) -> Self {
        let mut spec = accepted_job.job;
        let payload = std::mem::take(&mut spec.payload).into();
        let stages = (0..spec.occurrences())
            .flat_map(|_| spec.steps.iter().map(|step| Stage::new(step.tasks)))
            .collect();
        Self {
            id,
            queue: accepted_job.queue,
            queue_at_acceptance: accepted_job.policy,
            payload,
            critical_path_ms: spec.critical_path_ms(),
            remaining_path_ms: spec.critical_path_ms(),
            remaining_work_permille: WHOLE_PERMILLE,
            is_perpetual: spec.is_perpetual(),
            spec: Arc::new(spec),
            accepted_unix_ms: accepted_job.unix_ms,
            is_inherited,
            is_started: false,
            runs: 0,
            stages,
            opened_occurrences: 0,
            state: State::Queued,
            reason: None,
            over_at: None,
            over_unix_ms: None,
            version: 0,
            recorded_version: 0,
            revision: 0,
        }
    }

    /// Applies recorded progress.
    pub(super) fn apply_progress(&mut self, progress: Progress, revision: Revision) {
        self.revision = revision;
        self.state = progress.state;
        self.reason = progress.reason;
        self.over_unix_ms = progress.over_unix_ms;
        self.is_started = !progress.done.is_empty();
        for place in progress.done {
            if let Some(stage) = self.stage_mut(place) {
                stage.finish_task(place.index);
            }
        }
        self.update_remaining();
        for task_progress in progress.tallies {
            if let Some(task) = self.task_mut(task_progress.place) {
                task.failed_attempts = task_progress.failed;
                task.crashed_attempts = task_progress.crashed;
                task.suspected_attempts = task_progress.suspected;
                task.checkpoint = task_progress.checkpoint;
            }
        }
    }

    /// Returns the progress to record.
    pub(super) fn progress(&self) -> Progress {
        let mut progress = Progress {
            state: self.state,
            reason: self.reason.clone(),
            over_unix_ms: self.over_unix_ms,
            ..Progress::default()
        };
        if self.state.is_over() {
            return progress;
        }
        for (place, task) in self.tasks_by_place() {
            if task.phase == Phase::Done {
                progress.done.push(place);
            } else if !task.failed_attempts.is_empty()
                || task.is_suspect()
                || task.checkpoint.is_some()
            {
                progress.tallies.push(TaskProgress {
                    place,
                    failed: task.failed_attempts.clone(),
                    crashed: task.crashed_attempts.clone(),
                    suspected: task.suspected_attempts.clone(),
                    checkpoint: task.checkpoint.clone(),
                });
            }
        }
        progress
    }

    /// Returns the state that clients may see: a job that is done or has failed is shown as running
    /// until its end is recorded.
    pub(super) fn visible_state(&self) -> State {
        let is_recorded = self.recorded_version == self.version || self.state == State::Cancelled;
        if self.state.is_over() && !is_recorded {
            return State::Running;
        }
        self.state
    }

    pub(super) fn tasks_by_place(&self) -> impl Iterator<Item = (Place, &Task)> {
        let steps = self.spec.steps.len();
        self.stages
            .iter()
            .enumerate()
            .flat_map(move |(stage_index, stage)| {
                (0..).zip(&stage.tasks).map(move |(index, task)| {
                    let place = Place {
                        occurrence: u32::try_from(stage_index / steps).unwrap_or(u32::MAX),
                        step: u16::try_from(stage_index % steps).unwrap_or(u16::MAX),
                        index,
                    };
                    (place, task)
                })
            })
    }

    pub(super) fn active_runs(&self) -> Vec<RunKey> {
        self.tasks_by_place()
            .flat_map(|(_, task)| task.runs())
            .collect()
    }

    /// Counts an attempt that was placed or adopted.
    pub(super) const fn add_run(&mut self) {
        self.is_started = true;
        self.runs += 1;
    }

    /// Counts an attempt that is no longer on its worker.
    pub(super) const fn remove_run(&mut self) {
        self.runs = self.runs.saturating_sub(1);
    }

    /// Recomputes the remaining critical path and the remaining work after a task is done.
    pub(super) fn update_remaining(&mut self) {
        if self.spec.occurrences() > 1 {
            return;
        }
        self.update_remaining_path();
        self.update_remaining_work();
    }

    fn update_remaining_work(&mut self) {
        let steps = self.spec.steps.iter();
        let (mut remaining, mut whole) = (0.0, 0.0);
        for (step, stage) in steps.zip(&self.stages) {
            let task_work = step.estimate_ms as f64 * f64::from(step.demand.processors_milli);
            whole += task_work * stage.tasks.len() as f64;
            remaining += task_work * (stage.tasks.len() - stage.done) as f64;
        }
        if whole > 0.0 {
            let share = remaining / whole;
            self.remaining_work_permille = (share * f64::from(WHOLE_PERMILLE)) as u32;
        }
    }

    fn update_remaining_path(&mut self) {
        let mut finish_ms: SmallVec<[u64; 8]> = SmallVec::new();
        for (step, stage) in self.spec.steps.iter().zip(&self.stages) {
            let after = step.after.iter();
            let start_ms = after.filter_map(|index| finish_ms.get(usize::from(*index)));
            let own_ms = if stage.is_complete() {
                0
            } else {
                step.estimate_ms
            };
            let start_ms = start_ms.max().copied().unwrap_or(0);
            finish_ms.push(start_ms.saturating_add(own_ms));
        }
        self.remaining_path_ms = finish_ms.into_iter().max().unwrap_or(0);
    }

    /// Returns the time from acceptance by which the job is to end, in milliseconds.
    pub(super) fn objective_ms(&self, queue: &Queue) -> f64 {
        self.critical_path_ms as f64 * queue.stretch.max(1.0) + queue.slack_ms as f64
    }

    /// Returns when an occurrence is due; without a schedule, when the job was accepted, in
    /// milliseconds since the Unix epoch.
    pub(super) fn due_unix_ms(&self, occurrence: u32) -> u64 {
        let schedule = self.spec.schedule;
        schedule.map_or(self.accepted_unix_ms, |schedule| {
            schedule.due_unix_ms(occurrence)
        })
    }

    /// Returns the time from which a step may start by estimated run times, in milliseconds from the
    /// time at which its occurrence is due.
    pub(super) fn earliest_start_ms(&self, step: u16) -> u64 {
        let mut starts_ms: SmallVec<[u64; 8]> = SmallVec::new();
        for step in self.spec.steps.iter().take(usize::from(step) + 1) {
            let after = step.after.iter().map(|index| usize::from(*index));
            let ends_ms = after.filter_map(|index| {
                let start_ms = starts_ms.get(index)?;
                Some(start_ms.saturating_add(self.spec.steps[index].estimate_ms))
            });
            starts_ms.push(ends_ms.max().unwrap_or(0));
        }
        starts_ms.last().copied().unwrap_or(0)
    }

    /// Marks the job as running once a task has started.
    pub(super) fn mark_started(&mut self) {
        if self.state == State::Queued {
            self.state = State::Running;
        }
    }

    /// Returns the identifier of a task across all jobs.
    pub(super) const fn task_id(&self, place: Place) -> graph::Task {
        graph::Task {
            job: self.id,
            occurrence: place.occurrence,
            step: place.step,
            index: place.index,
        }
    }

    pub(super) fn step(&self, place: Place) -> Option<&Step> {
        self.spec.steps.get(usize::from(place.step))
    }

    pub(super) fn task(&self, place: Place) -> Option<&Task> {
        let stage = self.stages.get(self.stage_index(place)?)?;
        stage.tasks.get(place.index as usize)
    }

    pub(super) fn task_mut(&mut self, place: Place) -> Option<&mut Task> {
        self.stage_mut(place)?.tasks.get_mut(place.index as usize)
    }

    pub(super) fn stage_mut(&mut self, place: Place) -> Option<&mut Stage> {
        let stage_index = self.stage_index(place)?;
        self.stages.get_mut(stage_index)
    }

    /// Returns the index of the stage that contains a task.
    pub(super) fn stage_index(&self, place: Place) -> Option<usize> {
        let steps = self.spec.steps.len();
        if usize::from(place.step) >= steps {
            return None;
        }
        let occurrence = usize::try_from(place.occurrence).ok()?;
        Some(occurrence * steps + usize::from(place.step))
    }

    /// Opens the stages of an occurrence whose preceding steps are complete. Returns `true` if any
    /// stage was opened.
    pub(super) fn open_stages(&mut self, occurrence: u32, now: Time) -> bool {
        let steps = self.spec.steps.len();
        let first = occurrence as usize * steps;
        let mut is_opened = false;
        for (index, step) in self.spec.steps.iter().enumerate() {
            let mut predecessors = step.after.iter();
            let is_ready = predecessors.all(|predecessor| {
                let stage = self.stages.get(first + usize::from(*predecessor));
                stage.is_some_and(Stage::is_complete)
            });
            let Some(stage) = self.stages.get_mut(first + index) else {
                continue;
            };
            if is_ready && !stage.is_open && !stage.is_complete() {
                stage.is_open = true;
                for task in &mut stage.tasks {
                    task.ran_at = now;
                }
                is_opened = true;
            }
        }
        is_opened
    }

    pub(super) fn is_complete(&self) -> bool {
        self.stages.iter().all(Stage::is_complete)
    }

    pub(super) fn has_waiting(&self) -> bool {
        !self.state.is_over() && self.stages.iter().any(Stage::has_waiting)
    }
}
