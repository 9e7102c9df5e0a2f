//! Selection of a host for a task.

use toucanquay_model::{Time, graph::Step, session::Worker};

use super::{
    Scheduler,
    candidates::{AVOIDED_HOST_PENALTY, Candidates},
    host::Host,
    key::HostKey,
    stage_ref::StageRef,
};

/// Minimum speed at which a task that uses idle processors is started. It does not apply to a
/// perpetual task, nor to a job that has had no task running for a time.
const START_SPEED_MIN: f64 = 0.65;

/// Penalty for the first sensitive task on a worker, and the part of it that grows with the
/// worker's processors. Once a worker has a sensitive task, tasks that use idle processors there
/// are slowed down to protect its latency.
const FIRST_SENSITIVE_PENALTY: f64 = 5.0;
const FIRST_SENSITIVE_PENALTY_PER_PROCESSOR: f64 = 0.05;

/// Bonus for a worker on which all sensitive tasks have the same image as the task to place. They
/// are sensitive to the same neighbours, which can then be placed elsewhere.
const SAME_IMAGE_BONUS: f64 = 1.0;

/// Average share of its processors that a sensitive task uses.
const SENSITIVE_UTILIZATION: f64 = 0.6;

/// Bonus for a worker on the rack that holds the task's data.
const RACK_BONUS: f64 = 10.0;

impl Scheduler {
    /// Returns the hosts that fit a task of a stage. With `since`, only hosts that have changed in a
    /// later placement round are considered.
    ///
    /// Tasks are placed on the worker with the largest share of idle processors. Sensitive tasks
    /// are packed onto few workers instead, and tasks that use idle processors prefer the other
    /// workers.
    pub(super) fn candidates(
        &self,
        stage: StageRef<'_>,
        since: Option<u64>,
        now: Time,
    ) -> Candidates {
        let mut candidates = Candidates::default();
        let mut add = |key: HostKey| {
            if let Some(score) = self.host_score(key, stage, now) {
                candidates.push(key, score);
            }
        };
        match since {
            None => self.hosts.keys().for_each(&mut add),
            Some(round) => self.hosts_changed_after(round).for_each(&mut add),
        }
        candidates
    }

    /// Returns how well a host suits a task of a stage, or `None` if the task must not run there.
    pub(super) fn host_score(&self, key: HostKey, stage: StageRef<'_>, now: Time) -> Option<f64> {
        if self.probes.contains_key(&key) || self.is_kept_from(key, stage) {
            return None;
        }
        self.fitting_score(key, stage, now)
    }

    /// Returns how well a host suits a task of a stage, whether or not it is kept free for a probe
    /// or a perpetual task.
    pub(super) fn fitting_score(
        &self,
        key: HostKey,
        stage: StageRef<'_>,
        now: Time,
    ) -> Option<f64> {
        self.hosts_scored.update(|count| count + 1);
        let host = &self.hosts[key];
        let score = self.score(host, stage)?;
        if !self.is_below_worker_limit(key, stage) {
            return None;
        }
        let is_avoided = now < host.avoid_until.max(host.rejected_until);
        Some(if is_avoided {
            score - AVOIDED_HOST_PENALTY
        } else {
            score
        })
    }

    fn score(&self, host: &Host, stage: StageRef<'_>) -> Option<f64> {
        let StageRef {
            pool, step, image, ..
        } = stage;
        let worker = self.fitting_worker(host, pool, step)?;
        let capacity_milli = f64::from(worker.capacity.processors_milli.max(1));
        let mut score = if step.uses_idle {
            let speed = self.speed(host, pool, step, image)?;
            if speed < START_SPEED_MIN && !stage.accepts_any_speed {
                return None;
            }
            speed + self.expected_idle_milli(host) / capacity_milli
        } else if step.latency_target_ms.is_some() {
            // Packing sensitive tasks onto few workers leaves the other workers to tasks that would
            // interfere with them.
            let free_milli = f64::from(host.free_resources().processors_milli);
            let same_image_bonus = SAME_IMAGE_BONUS * self.same_image_share(host, image);
            let first_penalty = if host.sensitive_milli == 0 {
                FIRST_SENSITIVE_PENALTY
                    + FIRST_SENSITIVE_PENALTY_PER_PROCESSOR * capacity_milli / 1_000.0
            } else {
                0.0
            };
            same_image_bonus - free_milli / capacity_milli - first_penalty
        } else {
            // Filling the worker with the least room leaves larger gaps on the others, so that
            // larger tasks still fit.
            -f64::from(host.free_resources().processors_milli) / capacity_milli
        };
        let has_label = |label: &String| worker.labels.contains(label);
        if step.rack.as_ref().is_some_and(has_label) {
            score += RACK_BONUS;
        }
        Some(score - self.wanted_rack_penalty(worker, step))
    }

    /// Returns the worker of a host if a task of the step is allowed there and fits.
    fn fitting_worker<'a>(&self, host: &'a Host, pool: &str, step: &Step) -> Option<&'a Worker> {
        let worker = self.allowed_worker(host, pool, step);
        worker.filter(|_| step.occupied().fits(&host.free_resources()))
    }

    /// Returns the worker of a host if a task of the step is allowed there.
    pub(super) fn allowed_worker<'a>(
        &self,
        host: &'a Host,
        pool: &str,
        step: &Step,
    ) -> Option<&'a Worker> {
        let worker = host
            .schedulable_worker()
            .filter(|worker| worker.pool == pool)?;
        let has_label = |label: &String| worker.labels.contains(label);
        let is_allowed = step.requires.as_ref().is_none_or(has_label);
        is_allowed.then_some(worker)
    }

    /// Returns the speed, from 0 to 1, at which a task that uses idle processors would run on a
    /// host. Returns `None` if the task can't run there.
    pub(super) fn speed(&self, host: &Host, pool: &str, step: &Step, image: usize) -> Option<f64> {
        self.fitting_worker(host, pool, step)?;
        let demand_milli = f64::from(step.demand.processors_milli.max(1));
        let share = (self.expected_idle_milli(host) / demand_milli).clamp(0.0, 1.0);
        Some(share * self.allowed_speed(host, image, step.idle_milli()))
    }

    /// Returns the number of processors that are expected to be idle, in thousandths.
    fn expected_idle_milli(&self, host: &Host) -> f64 {
        let unused = f64::from(host.sensitive_milli) * (1.0 - SENSITIVE_UTILIZATION);
        f64::from(host.free_resources().processors_milli) + unused - f64::from(host.idle_milli)
    }

    /// Returns the share of a host's sensitive tasks that have the given image; 0 if it has no
    /// sensitive task.
    fn same_image_share(&self, host: &Host, image: usize) -> f64 {
        let images = host.runs.iter().filter_map(|key| self.runs.get(*key));
        let images = images.filter(|run| run.is_sensitive()).map(|run| run.image);
        let (mut same, mut all) = (0.0, 0.0);
        for other in images {
            all += 1.0;
            same += if other == image { 1.0 } else { 0.0 };
        }
        if all > 0.0 { same / all } else { 0.0 }
    }

    /// Returns whether the worker may run another task of the stage, given the limit of the step.
    pub(super) fn is_below_worker_limit(&self, host: HostKey, stage: StageRef<'_>) -> bool {
        self.places_left(host, stage) > 0
    }

    /// Returns how many more tasks of the stage the worker may run, given the limit of the step.
    pub(super) fn places_left(&self, host: HostKey, stage: StageRef<'_>) -> usize {
        let Some(per_worker_max) = stage.step.per_worker_max else {
            return usize::MAX;
        };
        let job = self.jobs.get(stage.job);
        let is_sibling = |run: &super::Run| {
            let index = job.and_then(|job| job.stage_index(run.place));
            run.job == stage.job && index == Some(stage.index)
        };
        let runs = self.hosts[host].runs.iter();
        let siblings = runs.filter(|key| self.runs.get(**key).is_some_and(is_sibling));
        (per_worker_max as usize).saturating_sub(siblings.count())
    }
}
