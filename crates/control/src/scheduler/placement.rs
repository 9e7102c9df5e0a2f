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
    pub(super) fn place(&mut self, now: Time) {
        if !self.is_owner(now) {
            return;
        }
        self.is_placement_due = false;
        for key in self.order(now) {
            self.place_job(key, now);
        }
        let jobs = &self.jobs;
        self.waiting
            .retain(|key| jobs.get(*key).is_some_and(super::Job::has_waiting));
    }

    fn order(&self, now: Time) -> Vec<JobKey> {
        let unix_ms = self.unix_ms(now);
        let is_certain = self.is_certain(now);
        let mut order: Vec<(Rank, JobKey)> = Vec::with_capacity(self.waiting.len());
        for key in &self.waiting {
            let Some(job) = self.jobs.get(*key) else {
                continue;
            };
            if job.is_inherited && !is_certain {
                continue;
            }
            let queue = self.queues.get(&job.queue).unwrap_or(&job.policy);
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
        let slots: Vec<usize> = stages.map(|(slot, _)| slot).collect();
        let steps = job.spec.steps.clone();
        for slot in slots {
            let step = &steps[slot % steps.len()];
            if step.is_gang {
                self.place_gang(key, slot, step, now);
            } else {
                self.place_stage(key, slot, step, now);
            }
        }
    }

    fn place_stage(&mut self, key: JobKey, slot: usize, step: &Step, now: Time) {
        for index in 0..step.tasks {
            let Some(task) = self.waiting_task(key, slot, index, now) else {
                continue;
            };
            let Some(host) = self.choose(key, slot, step, &task, now) else {
                // The other tasks of the stage need as much room.
                return;
            };
            let attempt = self.next_attempt();
            self.start(key, slot, index, step, host, attempt, now);
        }
    }

    /// Places all tasks of a gang under one attempt number, or none.
    fn place_gang(&mut self, key: JobKey, slot: usize, step: &Step, now: Time) {
        let attempt = self.next_attempt();
        let mut started: Vec<RunKey> = Vec::with_capacity(step.tasks as usize);
        for index in 0..step.tasks {
            let host = self
                .waiting_task(key, slot, index, now)
                .and_then(|task| self.choose(key, slot, step, &task, now));
            let Some(host) = host else {
                for run in started {
                    self.withdraw(run, now);
                }
                return;
            };
            started.push(self.start(key, slot, index, step, host, attempt, now));
        }
    }

    /// Takes back a start that was not sent.
    fn withdraw(&mut self, key: RunKey, now: Time) {
        let Some(run) = self.runs.get(key) else {
            return;
        };
        let Some(job) = self.jobs.get(run.job) else {
            return;
        };
        let (task, host) = (job.name(run.place), run.host);
        self.hosts[host].starts.retain(|start| start.task != task);
        let is_due = self.is_placement_due;
        self.release(key, now);
        self.is_placement_due = is_due;
    }

    fn waiting_task(
        &self,
        key: JobKey,
        slot: usize,
        index: u32,
        now: Time,
    ) -> Option<super::task::Task> {
        let task = self
            .jobs
            .get(key)?
            .stages
            .get(slot)?
            .tasks
            .get(index as usize)?;
        let is_waiting = task.phase == Phase::Waiting && task.not_before <= now;
        is_waiting.then(|| task.clone())
    }

    const fn next_attempt(&mut self) -> u64 {
        self.attempts += 1;
        self.epoch * ATTEMPTS_PER_EPOCH + self.attempts
    }

    #[expect(clippy::too_many_arguments, reason = "the parts of one start")]
    fn start(
        &mut self,
        key: JobKey,
        slot: usize,
        index: u32,
        step: &Step,
        host: HostKey,
        attempt: u64,
        now: Time,
    ) -> RunKey {
        let steps = self.jobs[key].spec.steps.len();
        let place = Place {
            occurrence: u32::try_from(slot / steps).unwrap_or(u32::MAX),
            step: u16::try_from(slot % steps).unwrap_or(u16::MAX),
            index,
        };
        let image = self.image(step);
        let run = Run::new(key, place, attempt, host, step, image, now);
        let run = self.runs.insert(run);
        let profile = self.profile(step, image);
        let job = &mut self.jobs[key];
        let task = job.name(place);
        let payload = job.payload.clone();
        let mut checkpoint = None;
        if let Some(state) = job.task_mut(place) {
            state.phase = Phase::Running(run);
            checkpoint.clone_from(&state.checkpoint);
        }
        let key = host;
        let host = &mut self.hosts[key];
        host.attach(run, step);
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
