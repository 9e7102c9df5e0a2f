//! Choice of a worker for a task.

use toucanquay_model::{Time, graph::Step, session::Worker};

use super::{
    Scheduler,
    host::Host,
    key::{HostKey, JobKey},
    task::Task,
};

/// Least speed at which a task that uses idle processors is started, unless its job has nothing
/// running.
const SPEED_MIN: f64 = 0.4;

/// Deduction for the first sensitive task on a worker, and the part that grows with the worker's
/// processors: from then on, tasks that use idle processors there have to spare it.
const FIRST_DEDUCTION: f64 = 5.0;
const FIRST_DEDUCTION_PER_PROCESSOR: f64 = 0.05;

/// Addition for a worker on which all sensitive tasks have the image of the one to place: what
/// disturbs one of them disturbs all, and the others go elsewhere.
const LIKE_ADDITION: f64 = 1.0;

/// Share of its processors that a task which serves users needs on average.
const SENSITIVE_USE: f64 = 0.6;

/// Addition for a worker on the rack that holds the data.
const RACK_ADDITION: f64 = 10.0;

/// Deduction for the worker on which the task failed before, or that fails others.
const AVOID_DEDUCTION: f64 = 20.0;

impl Scheduler {
    /// Returns the best worker for one task of a stage, if any has room.
    ///
    /// Among those with room, tasks go where most processors are idle. Tasks whose users feel
    /// their neighbours gather on few workers instead, and tasks that use idle processors go to
    /// the others.
    pub(super) fn choose(
        &self,
        job: JobKey,
        slot: usize,
        step: &Step,
        task: &Task,
        now: Time,
    ) -> Option<HostKey> {
        let image = self
            .model
            .image_key(step.image.as_deref().unwrap_or_default());
        let pool = &self.jobs.get(job)?.policy.pool;
        let queue = self.queues.get(&self.jobs.get(job)?.queue);
        let pool = queue.map_or(pool, |queue| &queue.pool);
        let is_first = self.jobs.get(job)?.running().is_empty();
        let mut best: Option<(f64, HostKey)> = None;
        for (key, host) in &self.hosts {
            let Some(score) = self.score(host, pool, step, image, is_first) else {
                continue;
            };
            if !self.has_place_for(key, job, slot, step) {
                continue;
            }
            let is_avoided = task.avoid == Some(key) || now < host.avoid_until;
            let score = if is_avoided {
                score - AVOID_DEDUCTION
            } else {
                score
            };
            if best.is_none_or(|(highest, _)| score > highest) {
                best = Some((score, key));
            }
        }
        best.map(|(_, key)| key)
    }

    fn score(
        &self,
        host: &Host,
        pool: &str,
        step: &Step,
        image: usize,
        is_first: bool,
    ) -> Option<f64> {
        let worker = self.fitting(host, pool, step)?;
        let capacity_milli = f64::from(worker.capacity.processors_milli.max(1));
        let mut score = if step.uses_idle {
            let speed = self.speed(host, pool, step, image)?;
            if speed < SPEED_MIN && !is_first {
                return None;
            }
            speed + self.left_milli(host) / capacity_milli
        } else if step.latency_target_ms.is_some() {
            // Sensitive tasks gather on few workers, which leaves the others undisturbed.
            let free_milli = f64::from(host.free().processors_milli);
            let like = LIKE_ADDITION * self.like_share(host, image);
            let first = if host.sensitive_milli == 0 {
                FIRST_DEDUCTION + FIRST_DEDUCTION_PER_PROCESSOR * capacity_milli / 1_000.0
            } else {
                0.0
            };
            like - free_milli / capacity_milli - first
        } else {
            self.left_milli(host) / capacity_milli
        };
        let has_label = |label: &String| worker.labels.contains(label);
        if step.rack.as_ref().is_some_and(has_label) {
            score += RACK_ADDITION;
        }
        Some(score)
    }

    /// Returns the worker of a host if a task may be placed there and fits.
    fn fitting<'a>(&self, host: &'a Host, pool: &str, step: &Step) -> Option<&'a Worker> {
        let worker = host.open_worker().filter(|worker| worker.pool == pool)?;
        let has_label = |label: &String| worker.labels.contains(label);
        let is_allowed = step.requires.as_ref().is_none_or(has_label);
        (is_allowed && step.occupied().fits(&host.free())).then_some(worker)
    }

    /// Returns the speed at which a task that uses idle processors would run on a host, from 0 to
    /// 1, or `None` if it can't run there.
    pub(super) fn speed(&self, host: &Host, pool: &str, step: &Step, image: usize) -> Option<f64> {
        self.fitting(host, pool, step)?;
        let demand_milli = f64::from(step.demand.processors_milli.max(1));
        let share = (self.left_milli(host) / demand_milli).clamp(0.0, 1.0);
        Some(share * self.allowed_speed(host, image, step.idle_milli()))
    }

    /// Returns the processors that are probably idle, in thousandths.
    fn left_milli(&self, host: &Host) -> f64 {
        let unused = f64::from(host.sensitive_milli) * (1.0 - SENSITIVE_USE);
        f64::from(host.free().processors_milli) + unused - f64::from(host.idle_milli)
    }

    /// Returns the share of a host's sensitive tasks that have an image.
    fn like_share(&self, host: &Host, image: usize) -> f64 {
        let images = host.runs.iter().filter_map(|key| self.runs.get(*key));
        let images = images.filter(|run| run.is_sensitive()).map(|run| run.image);
        let (mut like, mut all) = (0.0, 0.0);
        for other in images {
            all += 1.0;
            like += if other == image { 1.0 } else { 0.0 };
        }
        if all > 0.0 { like / all } else { 0.0 }
    }

    fn has_place_for(&self, host: HostKey, job: JobKey, slot: usize, step: &Step) -> bool {
        let Some(per_worker_max) = step.per_worker_max else {
            return true;
        };
        let is_sibling = |run: &super::Run| {
            let stage = self.jobs.get(job).and_then(|job| job.slot(run.place));
            run.job == job && stage == Some(slot)
        };
        let runs = self.hosts[host].runs.iter();
        let siblings = runs.filter(|key| self.runs.get(**key).is_some_and(is_sibling));
        siblings.count() < per_worker_max as usize
    }
}
