//! Placement of waiting tasks.

use std::sync::Arc;

use toucanquay_model::{
    Time,
    graph::{self, Place, Step},
    session::Start,
};

use super::{
    ATTEMPTS_PER_EPOCH, Run, Scheduler,
    candidates::Candidates,
    key::{HostKey, JobKey, RunKey},
    rank::Rank,
    shortage::Shortage,
    stage_ref::StageRef,
    task::{Phase, Task},
};

/// Maximum time between two placement rounds while tasks wait, in microseconds. Headroom and speeds
/// change without an attempt that ends.
const PLACEMENT_INTERVAL_MICROS: u64 = 250_000;

/// Interval between searches of all hosts for a stage that fits nowhere, in microseconds.
const FULL_SEARCH_INTERVAL_MICROS: u64 = 500_000;

/// Time for which a stage has been open, and none of its tasks has run, before a job with nothing
/// running starts one of them where it is slow, in microseconds. A task that has begun slowly holds up
/// its job for longer than that.
const SPEED_WAIT_MICROS: u64 = 2_000_000;

/// Part of the waiting tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Part {
    /// Perpetual tasks that are not suspects.
    Lasting,
    /// Suspect tasks, and gangs with one.
    Suspects,
    /// All other tasks.
    Others,
}

impl Scheduler {
    /// Places as many waiting tasks as possible, in the order of their jobs.
    pub(super) fn place_waiting_tasks(&mut self, now: Time) {
        if !self.is_owner(now) || !self.knows_evacuations(now) {
            return;
        }
        self.is_placement_due = false;
        self.placement_round += 1;
        self.next_placement_at = now.plus_micros(PLACEMENT_INTERVAL_MICROS);
        self.release_reservations();
        self.racks.begin_round(now);
        let order = self.placement_order(now);
        if !self.suspect_jobs.is_empty() {
            self.size_probes(now);
            // Perpetual tasks get each host whose probe has ended before the next one begins there,
            // so that they never wait for the proofs of all suspects.
            let is_perpetual = |key: &&JobKey| self.jobs[**key].is_perpetual;
            for key in order.iter().filter(is_perpetual).collect::<Vec<_>>() {
                self.place_job(*key, Part::Lasting, now);
            }
            // Other tasks would occupy the hosts that suspects need for themselves.
            let suspects = order.iter().filter(|key| self.suspect_jobs.contains(key));
            let mut suspects: Vec<JobKey> = suspects.copied().collect();
            suspects.sort_by_key(|key| !self.jobs[*key].is_perpetual);
            for key in suspects {
                self.place_job(key, Part::Suspects, now);
            }
        }
        for key in order {
            self.place_job(key, Part::Others, now);
        }
        self.end_relocation(now);
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
            order.push((Rank::new(job, queue, unix_ms), *key));
        }
        order.sort_unstable();
        order.into_iter().map(|(_, key)| key).collect()
    }

    /// Places a part of the waiting tasks of a job.
    fn place_job(&mut self, key: JobKey, part: Part, now: Time) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        if job.state.is_over() {
            return;
        }
        let queue = self
            .queues
            .get(&job.queue)
            .unwrap_or(&job.queue_at_acceptance);
        let pool = queue.pool.clone();
        let spec: Arc<graph::Job> = job.spec.clone();
        for index in 0..job.stages.len() {
            if !self.jobs[key].stages[index].has_waiting() {
                continue;
            }
            let step = &spec.steps[index % spec.steps.len()];
            let image = step.image.as_deref().unwrap_or_default();
            let stage = StageRef {
                job: key,
                index,
                step,
                pool: &pool,
                image: self.interference.image_key(image),
                accepts_any_speed: self.accepts_any_speed(key, index, step, now),
            };
            let is_suspect = self.has_suspect(stage);
            let is_placed = match part {
                Part::Suspects if !is_suspect => continue,
                Part::Suspects if !step.is_gang => {
                    self.place_probes(stage, now);
                    continue;
                }
                Part::Lasting if !step.is_perpetual => continue,
                Part::Lasting | Part::Others if step.is_gang && is_suspect => continue,
                _ if step.is_gang => self.place_gang(stage, now),
                _ if self.weighs_rack(step) => self.place_by_rack(stage, now),
                _ => self.place_stage(stage, now),
            };
            if !is_placed {
                self.record_shortage(stage, now);
                self.reserve_host(stage, now);
                self.make_room(stage, now);
            } else if step.is_perpetual {
                self.release_reservations();
            }
        }
    }

    /// Places the waiting tasks of a stage. Returns `false` if one doesn't fit on any host.
    pub(super) fn place_stage(&mut self, stage: StageRef<'_>, now: Time) -> bool {
        let since = self.last_search(stage, now);
        if since.is_some_and(|round| self.hosts_changed_after(round).next().is_none()) {
            return false;
        }
        let candidates = self.candidates(stage, since, now);
        self.place_on(stage, candidates, since, now)
    }

    /// Places the waiting tasks of a stage on these hosts, which were searched among those that have
    /// changed since a placement round. Returns `false` if one doesn't fit on any of them.
    pub(super) fn place_on(
        &mut self,
        mut stage: StageRef<'_>,
        mut candidates: Candidates,
        since: Option<u64>,
        now: Time,
    ) -> bool {
        for index in 0..stage.step.tasks {
            let Some(avoided_host) = self
                .waiting_task(stage, index, now)
                .filter(|task| !task.is_suspect())
                .map(|task| task.avoided_host)
            else {
                continue;
            };
            let Some(host) = candidates.pop(avoided_host) else {
                // The other tasks of the stage have the same requirements, so they don't fit
                // either.
                return false;
            };
            let attempt = self.next_attempt();
            self.start_task(stage, index, host, attempt, now);
            let accepts_any_speed = self.accepts_any_speed(stage.job, stage.index, stage.step, now);
            if accepts_any_speed != stage.accepts_any_speed {
                stage.accepts_any_speed = accepts_any_speed;
                candidates = self.candidates(stage, since, now);
            } else {
                self.readd_host(&mut candidates, host, stage, now);
            }
        }
        true
    }

    /// Places all tasks of a gang under one attempt number, once all may be placed. Returns `false`
    /// and places none of them if one doesn't fit.
    fn place_gang(&mut self, stage: StageRef<'_>, now: Time) -> bool {
        let mut members = 0..stage.step.tasks;
        if members.any(|index| self.waiting_task(stage, index, now).is_none()) {
            // The gang waits for a member, not for a host.
            return true;
        }
        let since = self.last_search(stage, now);
        if since.is_some_and(|round| self.hosts_changed_after(round).next().is_none()) {
            return false;
        }
        let Some(mut candidates) = self.gang_candidates(stage, now) else {
            // The gang waits for one rack.
            return true;
        };
        let attempt = self.next_attempt();
        let is_suspect = self.has_suspect(stage);
        if is_suspect {
            candidates.prefer(|host| self.has_outlived_starts(&self.hosts[host]));
        }
        let mut started: Vec<RunKey> = Vec::with_capacity(stage.step.tasks as usize);
        for index in 0..stage.step.tasks {
            let host = self
                .waiting_task(stage, index, now)
                .map(|task| task.avoided_host)
                .and_then(|avoided_host| candidates.pop(avoided_host));
            let Some(host) = host else {
                for run in started {
                    self.cancel_start(run, now);
                }
                // No order contains the attempt, so its number can be used again.
                self.last_attempt -= 1;
                return false;
            };
            started.push(self.start_task(stage, index, host, attempt, now));
            self.readd_host(&mut candidates, host, stage, now);
        }
        if is_suspect {
            self.begin_gang_probe(&started, now);
        }
        true
    }

    /// Adds a host to the candidates again after a task has been placed on it, if one more fits.
    fn readd_host(
        &self,
        candidates: &mut Candidates,
        host: HostKey,
        stage: StageRef<'_>,
        now: Time,
    ) {
        if let Some(score) = self.host_score(host, stage, now) {
            candidates.push(host, score);
        }
    }

    /// Returns whether tasks of a stage are started where they would be slow: each perpetual one,
    /// and one of each job with nothing running, once the stage has had none for a time.
    pub(super) fn accepts_any_speed(
        &self,
        key: JobKey,
        index: usize,
        step: &Step,
        now: Time,
    ) -> bool {
        if step.is_perpetual {
            return true;
        }
        let job = &self.jobs[key];
        if job.runs > 0 || !step.uses_idle {
            return false;
        }
        let last_ran_at = job.stages[index].last_ran_at();
        now >= last_ran_at.plus_micros(SPEED_WAIT_MICROS)
    }

    /// Returns the placement round of the last search that found no host for a stage, if hosts that
    /// have not changed since then need not be searched again.
    pub(super) fn last_search(&self, stage: StageRef<'_>, now: Time) -> Option<u64> {
        let shortage = self.jobs[stage.job].stages[stage.index].shortage?;
        let is_valid = now < shortage.full_search_at
            && (shortage.accepted_any_speed || !stage.accepts_any_speed);
        is_valid.then_some(shortage.round)
    }

    /// Records that no host fits the waiting tasks of a stage.
    fn record_shortage(&mut self, stage: StageRef<'_>, now: Time) {
        let full_search_at = match self.last_search(stage, now) {
            Some(_) => self.jobs[stage.job].stages[stage.index]
                .shortage
                .map_or(now, |shortage| shortage.full_search_at),
            None => now.plus_micros(FULL_SEARCH_INTERVAL_MICROS),
        };
        let accepted_any_speed = stage.accepts_any_speed
            && self.accepts_any_speed(stage.job, stage.index, stage.step, now);
        self.jobs[stage.job].stages[stage.index].shortage = Some(Shortage {
            round: self.placement_round,
            accepted_any_speed,
            full_search_at,
        });
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

    /// Returns a task if it may be placed.
    pub(super) fn waiting_task(&self, stage: StageRef<'_>, index: u32, now: Time) -> Option<&Task> {
        let job = self.jobs.get(stage.job)?;
        let task = job.stages.get(stage.index)?.tasks.get(index as usize)?;
        let is_recorded = job.recorded_version >= task.suspected_in;
        let is_waiting = task.phase == Phase::Waiting && task.not_before <= now;
        (is_waiting && is_recorded).then_some(task)
    }

    pub(super) const fn next_attempt(&mut self) -> u64 {
        self.last_attempt += 1;
        self.epoch * ATTEMPTS_PER_EPOCH + self.last_attempt
    }

    /// Returns the position of a task of a stage within its job.
    pub(super) fn place(&self, stage: StageRef<'_>, index: u32) -> Place {
        let steps = self.jobs[stage.job].spec.steps.len();
        Place {
            occurrence: u32::try_from(stage.index / steps).unwrap_or(u32::MAX),
            step: u16::try_from(stage.index % steps).unwrap_or(u16::MAX),
            index,
        }
    }

    pub(super) fn start_task(
        &mut self,
        stage: StageRef<'_>,
        index: u32,
        host: HostKey,
        attempt: u64,
        now: Time,
    ) -> RunKey {
        let (key, step) = (stage.job, stage.step);
        let place = self.place(stage, index);
        let image = self.image_key(step);
        let run = Run::new(key, place, attempt, host, step, image, now);
        let run = self.runs.insert(run);
        let profile = self.profile(step, image);
        let job = &mut self.jobs[key];
        job.add_run();
        let task = job.task_id(place);
        let payload = job.payload.clone();
        let mut checkpoint = None;
        let mut is_probe = false;
        if let Some(state) = job.task_mut(place) {
            state.phase = Phase::Running(run);
            is_probe = state.is_suspect();
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
            is_probe,
        });
        self.send_effects(key);
        run
    }
}
