//! Reports of companions.

use toucanquay_model::{
    Time,
    exchange::{Report, Stop, TaskReport, TaskState},
};
use toucanquay_policy::batch;

use super::{
    Cell, Phase,
    ending::outcome,
    key::{RunKey, TaskKey, WorkerKey},
    member::{Member, Unanswered},
    run::{Run, Stage},
};

impl Cell {
    /// Takes in a report. Returns whether it will be answered: one that comes late, a second time
    /// or from a former companion changes nothing and gets no answer.
    pub fn receive(&mut self, report: &Report, now: Time) -> bool {
        if report.epoch > self.epoch {
            self.depose();
        }
        if self.is_deposed {
            return false;
        }
        self.queue.advance(now);
        self.learn(report.revision);
        let Some(worker) = self.admit_report(report, now) else {
            return false;
        };
        for task in &report.tasks {
            self.take_task(worker, report, task, now);
        }
        self.miss_tasks(worker, report, now);
        if report.is_leaving {
            self.evict_all(worker);
        }
        true
    }

    /// Notes what a report says of its worker, unless it is an old one.
    fn admit_report(&mut self, report: &Report, now: Time) -> Option<WorkerKey> {
        let worker = self.worker(report, now);
        let member = self.workers.get_mut(worker)?;
        let is_same = member.incarnation == report.incarnation;
        if report.incarnation < member.incarnation
            || (is_same && report.sequence <= member.sequence)
        {
            return None;
        }
        if !is_same {
            member.quiet_at = member.quiet_at.max(member.start_until);
            member.start_until = Time::ZERO;
        }
        member.incarnation = report.incarnation;
        member.sequence = report.sequence;
        member.revision = report.revision;
        member.capacity = report.capacity;
        self.queue.join(&report.worker, report.capacity);
        member.is_leaving = report.is_leaving;
        member.is_settling = report.is_settling;
        member.heard_at = now;
        member.foreign = toucanquay_model::Resources::ZERO;
        member.foreign_stops.clear();
        member.acknowledged.clear();
        member.is_urgent = false;
        member.unanswered = Some(Unanswered {
            sequence: report.sequence,
            received_at: now,
        });
        if !is_same {
            self.orphan_runs(worker);
        }
        self.replace_placed(worker, now);
        Some(worker)
    }

    fn worker(&mut self, report: &Report, now: Time) -> WorkerKey {
        if let Some(key) = self.worker_ids.get(&report.worker) {
            return *key;
        }
        // A former owner may have granted starts to a former companion of this worker.
        let quiet_at = self.wait_until;
        let member = Member::new(report.worker.clone(), report.incarnation, quiet_at, now);
        let key = self.workers.insert(member);
        self.worker_ids.insert(report.worker.clone(), key);
        key
    }

    /// After a restart of the companion, a start that its predecessor sent may still take effect.
    fn orphan_runs(&mut self, worker: WorkerKey) {
        for key in self.runs_of(worker) {
            if let Some(run) = self.runs.get_mut(key) {
                run.reported = 0;
                if run.stage != Stage::Placed {
                    run.stage = Stage::Orphaned;
                }
            }
        }
    }

    /// Takes back grants that were to leave with the answer to an earlier report.
    fn replace_placed(&mut self, worker: WorkerKey, now: Time) {
        for key in self.runs_of(worker) {
            if let Some(run) = self.runs.get(key)
                && run.stage == Stage::Placed
            {
                let task = run.task;
                self.release(key, batch::Outcome::NotStarted);
                self.requeue(task, now, now);
            }
        }
    }

    pub(super) fn runs_of(&self, worker: WorkerKey) -> Vec<RunKey> {
        self.workers
            .get(worker)
            .map(|member| member.runs.clone())
            .unwrap_or_default()
    }

    fn take_task(&mut self, worker: WorkerKey, report: &Report, line: &TaskReport, now: Time) {
        let Some(key) = self.task_key(line) else {
            self.reject(worker, line);
            return;
        };
        let task = &self.jobs[key.job].tasks[key.index as usize];
        let (phase, last) = (task.phase, task.last);
        if let Phase::Running(run) = phase
            && self.runs[run].attempt == line.attempt
            && self.runs[run].worker == worker
        {
            self.update(run, report, line, now);
        } else if line.attempt > last && phase != Phase::Done && phase != Phase::Ending {
            self.adopt(key, worker, report, line, now);
        } else if self.is_unrecorded_end(key, line) {
            self.detach(key);
            self.end(key, line.attempt, worker, &line.state, now);
        } else if phase == Phase::Ending && line.attempt >= last {
            // The end of this attempt, or of an older one that came first after a takeover, is
            // being written. The companion reports the attempt again afterwards.
            self.count_foreign(worker, line);
        } else {
            self.reject(worker, line);
        }
    }

    fn count_foreign(&mut self, worker: WorkerKey, line: &TaskReport) {
        if let Some(member) = self.workers.get_mut(worker)
            && line.state.holds_resources()
        {
            member.foreign = member.foreign.plus(&line.demand);
        }
    }

    /// Tells whether a line has the end of a task's newest attempt, whose lease bound has passed
    /// and which no other attempt has replaced. Its result still counts.
    fn is_unrecorded_end(&self, key: TaskKey, line: &TaskReport) -> bool {
        let job = &self.jobs[key.job];
        let task = &job.tasks[key.index as usize];
        let is_waiting = matches!(task.phase, Phase::Waiting | Phase::Backoff(_));
        let is_result = matches!(
            line.state,
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
        is_waiting && is_result && line.attempt == task.last && recorded != Some(line.attempt)
    }

    fn task_key(&self, line: &TaskReport) -> Option<TaskKey> {
        let job = *self.job_ids.get(&line.task.job)?;
        let count = self.jobs.get(job)?.spec.tasks;
        (line.task.index < count).then_some(TaskKey {
            job,
            index: line.task.index,
        })
    }

    /// Stops an attempt that is not the current one, or lets the companion forget its end.
    fn reject(&mut self, worker: WorkerKey, line: &TaskReport) {
        let Some(member) = self.workers.get_mut(worker) else {
            return;
        };
        // A stop under way needs no answer at once, or both sides would exchange without pause.
        member.is_urgent |= line.state != TaskState::Stopping;
        if !line.state.holds_resources() {
            member.acknowledged.push((line.task.clone(), line.attempt));
            return;
        }
        member.foreign_stops.push(Stop {
            task: line.task.clone(),
            attempt: line.attempt,
            with_checkpoint: false,
        });
        self.count_foreign(worker, line);
    }

    /// Takes in the state of a current attempt.
    fn update(&mut self, key: RunKey, report: &Report, line: &TaskReport, now: Time) {
        if !line.state.holds_resources() {
            let (task, worker) = (self.runs[key].task, self.runs[key].worker);
            self.release(key, outcome(&line.state));
            self.end(task, line.attempt, worker, &line.state, now);
            return;
        }
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        run.stage = Stage::Reported;
        run.reported = report.sequence;
        // A stop may have overtaken the start, so only a running attempt has surely started.
        if line.state == TaskState::Running && !run.is_confirmed {
            run.is_confirmed = true;
            if let Some(job) = self.jobs.get_mut(run.task.job) {
                job.unconfirmed -= 1;
            }
        }
    }

    /// Takes over an attempt that a former owner granted.
    fn adopt(
        &mut self,
        key: TaskKey,
        worker: WorkerKey,
        report: &Report,
        line: &TaskReport,
        now: Time,
    ) {
        self.detach(key);
        let run = Run {
            task: key,
            attempt: line.attempt,
            worker,
            demand: line.demand,
            bound: self.settings.bound(now),
            stage: Stage::Reported,
            is_confirmed: line.state == TaskState::Running,
            reported: report.sequence,
            stop: None,
            throttle: None,
        };
        if let Some(job) = self.jobs.get(key.job) {
            self.queue.adopt(&job.spec, key.index, line.demand);
            if job.is_cancelled {
                self.queue.remove_job(&job.spec);
            }
        }
        let Some(run) = self.insert_run(run) else {
            return;
        };
        if !line.state.holds_resources() {
            self.release(run, outcome(&line.state));
            self.end(key, line.attempt, worker, &line.state, now);
        } else if self.jobs[key.job].is_cancelled {
            self.request_stop(run, false);
        }
    }

    /// Takes a task out of the queue, or gives up an older attempt at it.
    fn detach(&mut self, key: TaskKey) {
        let job = &self.jobs[key.job];
        match job.tasks[key.index as usize].phase {
            Phase::Running(old) => {
                let (worker, demand) = (self.runs[old].worker, self.runs[old].demand);
                self.release(old, batch::Outcome::Stopped);
                if let Some(member) = self.workers.get_mut(worker) {
                    member.foreign = member.foreign.plus(&demand);
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
    /// It had one report outstanding and does not act on the answer to an earlier one, so a report
    /// without the attempt that the last answer granted says that it was never started.
    fn miss_tasks(&mut self, worker: WorkerKey, report: &Report, now: Time) {
        for key in self.runs_of(worker) {
            if let Some(run) = self.runs.get(key)
                && let Stage::Granted(sequence) = run.stage
                && sequence < report.sequence
            {
                let task = run.task;
                self.release(key, batch::Outcome::NotStarted);
                self.requeue(task, now, now);
            }
        }
    }

    fn evict_all(&mut self, worker: WorkerKey) {
        for key in self.runs_of(worker) {
            self.request_stop(key, true);
        }
    }

    /// Orders an attempt to stop, unless its grant has not left yet.
    pub(super) fn request_stop(&mut self, key: RunKey, with_checkpoint: bool) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        if run.stage == Stage::Placed {
            let task = run.task;
            self.release(key, batch::Outcome::NotStarted);
            self.requeue(task, Time::ZERO, Time::ZERO);
            return;
        }
        let is_weaker = run.stop.is_some_and(|with| !with || with_checkpoint);
        if is_weaker {
            return;
        }
        run.stop = Some(with_checkpoint);
        if let Some(member) = self.workers.get_mut(run.worker) {
            member.is_urgent = true;
        }
    }
}
