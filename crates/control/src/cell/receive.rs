//! Handling of companions' reports.

use toucanquay_model::{
    Time,
    exchange::{Report, Stop, TaskReport, TaskState},
};
use toucanquay_policy::batch;

use super::{
    Cell, Phase,
    ending::batch_outcome,
    key::{RunKey, TaskKey, WorkerKey},
    run::{Run, StartState},
    worker_state::{Unanswered, WorkerState},
};

impl Cell {
    /// Handles a report and returns whether it will be answered. A late or repeated report, or one
    /// of a former incarnation of the companion, changes nothing and gets no answer.
    pub fn receive_report(&mut self, report: &Report, now: Time) -> bool {
        if report.epoch > self.epoch {
            self.mark_deposed();
        }
        if self.is_deposed {
            return false;
        }
        self.queue.advance(now);
        self.observe_revision(report.revision);
        let Some(worker) = self.accept_report(report, now) else {
            return false;
        };
        for task in &report.tasks {
            self.apply_task_report(worker, report, task, now);
        }
        self.requeue_unstarted_tasks(worker, report, now);
        if report.is_leaving {
            self.evict_worker_tasks(worker);
        }
        true
    }

    /// Updates the state of the reporting worker, unless the report is outdated.
    fn accept_report(&mut self, report: &Report, now: Time) -> Option<WorkerKey> {
        let worker = self.find_or_add_worker(report, now);
        let worker_state = self.workers.get_mut(worker)?;
        let is_same = worker_state.incarnation == report.incarnation;
        if report.incarnation < worker_state.incarnation
            || (is_same && report.sequence <= worker_state.sequence)
        {
            return None;
        }
        if !is_same {
            worker_state.former_starts_until = worker_state
                .former_starts_until
                .max(worker_state.starts_until);
            worker_state.starts_until = Time::ZERO;
        }
        worker_state.incarnation = report.incarnation;
        worker_state.sequence = report.sequence;
        worker_state.revision = report.revision;
        worker_state.capacity = report.capacity;
        self.queue.add_worker(&report.worker, report.capacity);
        worker_state.is_leaving = report.is_leaving;
        worker_state.is_settling = report.is_settling;
        worker_state.last_report_at = now;
        worker_state.untracked = toucanquay_model::Resources::ZERO;
        worker_state.untracked_stops.clear();
        worker_state.acknowledged.clear();
        worker_state.is_answer_urgent = false;
        worker_state.unanswered = Some(Unanswered {
            sequence: report.sequence,
            received_at: now,
        });
        if !is_same {
            self.orphan_runs(worker);
        }
        self.withdraw_unsent_grants(worker, now);
        Some(worker)
    }

    fn find_or_add_worker(&mut self, report: &Report, now: Time) -> WorkerKey {
        if let Some(key) = self.worker_ids.get(&report.worker) {
            return *key;
        }
        // The former owner may have granted starts to a former incarnation of the companion.
        let former_starts_until = self.takeover_complete_at;
        let worker_state = WorkerState::new(
            report.worker.clone(),
            report.incarnation,
            former_starts_until,
            now,
        );
        let key = self.workers.insert(worker_state);
        self.worker_ids.insert(report.worker.clone(), key);
        key
    }

    /// Marks the worker's attempts as orphaned after a restart of its companion: a start that the
    /// former incarnation sent may still take effect.
    fn orphan_runs(&mut self, worker: WorkerKey) {
        for key in self.runs_of_worker(worker) {
            if let Some(run) = self.runs.get_mut(key) {
                run.last_report_sequence = 0;
                if run.start_state != StartState::Placed {
                    run.start_state = StartState::Orphaned;
                }
            }
        }
    }

    /// Withdraws grants that have not been sent with the answer to an earlier report.
    fn withdraw_unsent_grants(&mut self, worker: WorkerKey, now: Time) {
        for key in self.runs_of_worker(worker) {
            if let Some(run) = self.runs.get(key)
                && run.start_state == StartState::Placed
            {
                let task = run.task;
                self.release_run(key, batch::Outcome::NotStarted);
                self.requeue(task, now, now);
            }
        }
    }

    pub(super) fn runs_of_worker(&self, worker: WorkerKey) -> Vec<RunKey> {
        self.workers
            .get(worker)
            .map(|worker_state| worker_state.runs.clone())
            .unwrap_or_default()
    }

    /// Applies the reported state of one attempt.
    fn apply_task_report(
        &mut self,
        worker: WorkerKey,
        report: &Report,
        task_report: &TaskReport,
        now: Time,
    ) {
        let Some(key) = self.task_key(task_report) else {
            self.stop_or_acknowledge(worker, task_report);
            return;
        };
        let task = &self.jobs[key.job].tasks[key.index as usize];
        let (phase, last_attempt) = (task.phase, task.last_attempt);
        if let Phase::Running(run) = phase
            && self.runs[run].attempt == task_report.attempt
            && self.runs[run].worker == worker
        {
            self.update_run(run, report, task_report, now);
        } else if task_report.attempt > last_attempt
            && phase != Phase::Done
            && phase != Phase::Ending
        {
            self.adopt_run(key, worker, report, task_report, now);
        } else if self.is_unrecorded_end(key, task_report) {
            self.detach_task(key);
            self.handle_end(key, task_report.attempt, worker, &task_report.state, now);
        } else if phase == Phase::Ending && task_report.attempt >= last_attempt {
            // The end of this attempt, or of an older one that was reported first after a takeover,
            // is being written. The companion reports the attempt again afterwards.
            self.count_untracked(worker, task_report);
        } else {
            self.stop_or_acknowledge(worker, task_report);
        }
    }

    /// Counts the resources of an attempt that is not the current one of its task.
    fn count_untracked(&mut self, worker: WorkerKey, task_report: &TaskReport) {
        if let Some(worker_state) = self.workers.get_mut(worker)
            && task_report.state.holds_resources()
        {
            worker_state.untracked = worker_state.untracked.plus(&task_report.demand);
        }
    }

    /// Returns whether a report holds the end of a task's newest attempt whose lease has expired
    /// but which no other attempt has replaced. Its result still counts.
    fn is_unrecorded_end(&self, key: TaskKey, task_report: &TaskReport) -> bool {
        let job = &self.jobs[key.job];
        let task = &job.tasks[key.index as usize];
        let is_waiting = matches!(task.phase, Phase::Waiting | Phase::Backoff(_));
        let is_result = matches!(
            task_report.state,
            TaskState::Finished
                | TaskState::Failed { .. }
                | TaskState::Stopped {
                    checkpoint: Some(_)
                }
        );
        let recorded = job
            .records
            .get(&key.index)
            .map(|(_, record)| record.attempt);
        is_waiting
            && is_result
            && task_report.attempt == task.last_attempt
            && recorded != Some(task_report.attempt)
    }

    fn task_key(&self, task_report: &TaskReport) -> Option<TaskKey> {
        let job = *self.job_ids.get(&task_report.task.job)?;
        let count = self.jobs.get(job)?.spec.tasks;
        (task_report.task.index < count).then_some(TaskKey {
            job,
            index: task_report.task.index,
        })
    }

    /// Stops an attempt that is not the current one of its task, or lets the companion forget its
    /// end.
    fn stop_or_acknowledge(&mut self, worker: WorkerKey, task_report: &TaskReport) {
        let Some(worker_state) = self.workers.get_mut(worker) else {
            return;
        };
        // An attempt that is already stopping needs no prompt answer; otherwise, owner and
        // companion would exchange messages without pause.
        worker_state.is_answer_urgent |= task_report.state != TaskState::Stopping;
        if !task_report.state.holds_resources() {
            worker_state
                .acknowledged
                .push((task_report.task.clone(), task_report.attempt));
            return;
        }
        worker_state.untracked_stops.push(Stop {
            task: task_report.task.clone(),
            attempt: task_report.attempt,
            with_checkpoint: false,
        });
        self.count_untracked(worker, task_report);
    }

    /// Updates a current attempt from its report.
    fn update_run(&mut self, key: RunKey, report: &Report, task_report: &TaskReport, now: Time) {
        if !task_report.state.holds_resources() {
            let (task, worker) = (self.runs[key].task, self.runs[key].worker);
            self.release_run(key, batch_outcome(&task_report.state));
            self.handle_end(task, task_report.attempt, worker, &task_report.state, now);
            return;
        }
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        run.start_state = StartState::Reported;
        run.last_report_sequence = report.sequence;
        // A stop may have overtaken the start, so only the state `Running` proves that the attempt
        // has started.
        if task_report.state == TaskState::Running && !run.is_confirmed {
            run.is_confirmed = true;
            if let Some(job) = self.jobs.get_mut(run.task.job) {
                job.unconfirmed -= 1;
            }
        }
    }

    /// Adopts an attempt that a former owner granted.
    fn adopt_run(
        &mut self,
        key: TaskKey,
        worker: WorkerKey,
        report: &Report,
        task_report: &TaskReport,
        now: Time,
    ) {
        self.detach_task(key);
        let run = Run {
            task: key,
            attempt: task_report.attempt,
            worker,
            demand: task_report.demand,
            lease_end_bound: self.settings.lease_end_bound(now),
            start_state: StartState::Reported,
            is_confirmed: task_report.state == TaskState::Running,
            last_report_sequence: report.sequence,
            requested_stop: None,
            pending_throttle: None,
        };
        if let Some(job) = self.jobs.get(key.job) {
            self.queue.adopt(&job.spec, key.index, task_report.demand);
            if job.is_cancelled {
                self.queue.remove_job(&job.spec);
            }
        }
        let Some(run) = self.insert_run(run) else {
            return;
        };
        if !task_report.state.holds_resources() {
            self.release_run(run, batch_outcome(&task_report.state));
            self.handle_end(key, task_report.attempt, worker, &task_report.state, now);
        } else if self.jobs[key.job].is_cancelled {
            self.request_stop(run, false);
        }
    }

    /// Removes a task from the queue, or releases an older attempt at it.
    fn detach_task(&mut self, key: TaskKey) {
        let job = &self.jobs[key.job];
        match job.tasks[key.index as usize].phase {
            Phase::Running(old) => {
                let (worker, demand) = (self.runs[old].worker, self.runs[old].demand);
                self.release_run(old, batch::Outcome::Stopped);
                if let Some(worker_state) = self.workers.get_mut(worker) {
                    worker_state.untracked = worker_state.untracked.plus(&demand);
                }
            }
            Phase::Waiting => self.queue.remove(&job.task_id(key.index)),
            Phase::Backoff(until) => {
                self.backoffs.remove(&(until, key));
            }
            Phase::Ending | Phase::Done => {}
        }
    }

    /// Requeues the tasks whose grants the companion never acted on.
    ///
    /// A companion has one report outstanding and ignores answers to earlier ones. A report without
    /// the attempt that the previous answer granted thus proves that it was never started.
    fn requeue_unstarted_tasks(&mut self, worker: WorkerKey, report: &Report, now: Time) {
        for key in self.runs_of_worker(worker) {
            if let Some(run) = self.runs.get(key)
                && let StartState::Granted(sequence) = run.start_state
                && sequence < report.sequence
            {
                let task = run.task;
                self.release_run(key, batch::Outcome::NotStarted);
                self.requeue(task, now, now);
            }
        }
    }

    fn evict_worker_tasks(&mut self, worker: WorkerKey) {
        for key in self.runs_of_worker(worker) {
            self.request_stop(key, true);
        }
    }

    /// Requests a stop of an attempt, or withdraws its grant if it has not been sent yet.
    pub(super) fn request_stop(&mut self, key: RunKey, with_checkpoint: bool) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        if run.start_state == StartState::Placed {
            let task = run.task;
            self.release_run(key, batch::Outcome::NotStarted);
            self.requeue(task, Time::ZERO, Time::ZERO);
            return;
        }
        let is_redundant = run
            .requested_stop
            .is_some_and(|requested_with_checkpoint| !requested_with_checkpoint || with_checkpoint);
        if is_redundant {
            return;
        }
        run.requested_stop = Some(with_checkpoint);
        if let Some(worker_state) = self.workers.get_mut(run.worker) {
            worker_state.is_answer_urgent = true;
        }
    }
}
