//! Placement of waiting tasks.

use toucanquay_model::{
    Time,
    graph::{Place, Step},
    session::Start,
};

use super::{
    ATTEMPTS_PER_EPOCH, Run, Scheduler,
    key::{HostKey, JobKey, RunKey},
    rank::Rank,
    task::Phase,
};

impl Scheduler {
    /// Places as many waiting tasks as possible, in the order of their jobs.
    pub(super) fn place_waiting_tasks(&mut self, now: Time) {
        if !self.is_owner(now) {
            return;
        }
        self.is_placement_due = false;
        for key in self.placement_order(now) {
            self.place_job(key, now);
        }
        let jobs = &self.jobs;
        self.waiting_jobs
            .retain(|key| jobs.get(*key).is_some_and(super::Job::has_waiting));
    }

    /// Returns the waiting jobs in the order in which they are placed.
    fn placement_order(&self, now: Time) -> Vec<JobKey> {
        let unix_ms = self.unix_ms(now);
        let is_takeover_complete = self.is_takeover_complete(now);
        let mut order: Vec<(Rank, JobKey)> = Vec::with_capacity(self.waiting_jobs.len());
        for key in &self.waiting_jobs {
            let Some(job) = self.jobs.get(*key) else {
                continue;
            };
            if job.is_inherited && !is_takeover_complete {
                continue;
            }
            let queue = self
                .queues
                .get(&job.queue)
                .unwrap_or(&job.queue_at_acceptance);
            let rank = Rank::new(&job.spec, queue, job.accepted_unix_ms, unix_ms);
            order.push((rank, *key));
        }
        order.sort_unstable();
        order.into_iter().map(|(_, key)| key).collect()
    }

    fn place_job(&mut self, key: JobKey, now: Time) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        if job.state.is_over() {
            return;
        }
        let waiting = |(_, stage): &(usize, &super::stage::Stage)| stage.has_waiting();
        let stages = job.stages.iter().enumerate().filter(waiting);
        let stage_indices: Vec<usize> = stages.map(|(stage_index, _)| stage_index).collect();
        let steps = job.spec.steps.clone();
        for stage_index in stage_indices {
            let step = &steps[stage_index % steps.len()];
            if step.is_gang {
                self.place_gang(key, stage_index, step, now);
            } else {
                self.place_stage(key, stage_index, step, now);
            }
        }
    }

    fn place_stage(&mut self, key: JobKey, stage_index: usize, step: &Step, now: Time) {
        for index in 0..step.tasks {
            let Some(task) = self.waiting_task(key, stage_index, index, now) else {
                continue;
            };
            let Some(host) = self.select_host(key, stage_index, step, &task, now) else {
                // The other tasks of the stage have the same requirements, so they don't fit
                // either.
                return;
            };
            let attempt = self.next_attempt();
            self.start_task(key, stage_index, index, step, host, attempt, now);
        }
    }

    /// Places all tasks of a gang under one attempt number. Places none of them if one doesn't fit.
    fn place_gang(&mut self, key: JobKey, stage_index: usize, step: &Step, now: Time) {
        let attempt = self.next_attempt();
        let mut started: Vec<RunKey> = Vec::with_capacity(step.tasks as usize);
        for index in 0..step.tasks {
            let host = self
                .waiting_task(key, stage_index, index, now)
                .and_then(|task| self.select_host(key, stage_index, step, &task, now));
            let Some(host) = host else {
                for run in started {
                    self.cancel_start(run, now);
                }
                return;
            };
            started.push(self.start_task(key, stage_index, index, step, host, attempt, now));
        }
    }

    /// Cancels a start that has not been sent.
    fn cancel_start(&mut self, key: RunKey, now: Time) {
        let Some(run) = self.runs.get(key) else {
            return;
        };
        let Some(job) = self.jobs.get(run.job) else {
            return;
        };
        let (task, host) = (job.task_id(run.place), run.host);
        self.hosts[host].starts.retain(|start| start.task != task);
        let is_due = self.is_placement_due;
        self.release_run(key, now);
        self.is_placement_due = is_due;
    }

    fn waiting_task(
        &self,
        key: JobKey,
        stage_index: usize,
        index: u32,
        now: Time,
    ) -> Option<super::task::Task> {
        let task = self
            .jobs
            .get(key)?
            .stages
            .get(stage_index)?
            .tasks
            .get(index as usize)?;
        let is_waiting = task.phase == Phase::Waiting && task.not_before <= now;
        is_waiting.then(|| task.clone())
    }

    const fn next_attempt(&mut self) -> u64 {
        self.last_attempt += 1;
        self.epoch * ATTEMPTS_PER_EPOCH + self.last_attempt
    }

    #[expect(
        clippy::too_many_arguments,
        reason = "all arguments describe one start"
    )]
    fn start_task(
        &mut self,
        key: JobKey,
        stage_index: usize,
        index: u32,
        step: &Step,
        host: HostKey,
        attempt: u64,
        now: Time,
    ) -> RunKey {
        let steps = self.jobs[key].spec.steps.len();
        let place = Place {
            occurrence: u32::try_from(stage_index / steps).unwrap_or(u32::MAX),
            step: u16::try_from(stage_index % steps).unwrap_or(u16::MAX),
            index,
        };
        let image = self.image_key(step);
        let run = Run::new(key, place, attempt, host, step, image, now);
        let run = self.runs.insert(run);
        let profile = self.profile(step, image);
        let job = &mut self.jobs[key];
        let task = job.task_id(place);
        let payload = job.payload.clone();
        let mut checkpoint = None;
        if let Some(state) = job.task_mut(place) {
            state.phase = Phase::Running(run);
            checkpoint.clone_from(&state.checkpoint);
        }
        let key = host;
        let host = &mut self.hosts[key];
        host.add_run(run, step);
        host.starts.push(Start {
            task,
            attempt,
            payload,
            checkpoint,
            profile,
        });
        self.send_effects(key);
        run
    }
}
