//! Choice of a worker for a task.

use toucanquay_model::{Time, graph::Step};

use super::{
    Scheduler,
    host::Host,
    key::{HostKey, JobKey},
    task::Task,
};

/// Least share of its processors that a task must find idle, unless its job has nothing running.
const IDLE_SHARE_MIN: f64 = 0.5;

/// Largest share of idle processors that makes a worker better.
const IDLE_SHARE_MAX: f64 = 2.0;

/// Deduction for mixing tasks that use idle processors with those whose users they could harm.
const MIX_DEDUCTION: f64 = 5.0;

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
        let pool = &self.jobs.get(job)?.policy.pool;
        let queue = self.queues.get(&self.jobs.get(job)?.queue);
        let pool = queue.map_or(pool, |queue| &queue.pool);
        let is_first = self.jobs.get(job)?.running().is_empty();
        let mut best: Option<(f64, HostKey)> = None;
        for (key, host) in &self.hosts {
            let Some(score) = self.score(host, pool, step, is_first) else {
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

    fn score(&self, host: &Host, pool: &str, step: &Step, is_first: bool) -> Option<f64> {
        let worker = host.open_worker().filter(|worker| worker.pool == pool)?;
        let has_label = |label: &String| worker.labels.contains(label);
        if !step.requires.as_ref().is_none_or(has_label) || !step.occupied().fits(&host.free()) {
            return None;
        }
        let capacity_milli = f64::from(worker.capacity.processors_milli.max(1));
        let free_milli = f64::from(host.free().processors_milli);
        let left_milli = free_milli - f64::from(host.idle_milli);
        let mut score = if step.uses_idle {
            let share = left_milli / f64::from(step.demand.processors_milli.max(1));
            if share < IDLE_SHARE_MIN && !is_first {
                return None;
            }
            share.min(IDLE_SHARE_MAX) - if self.has_sensitive(host) { MIX_DEDUCTION } else { 0.0 }
        } else if step.latency_target_ms.is_some() {
            // Sensitive tasks gather on few workers, which leaves the others undisturbed.
            let is_mixed = host.idle_milli > 0 && !self.has_sensitive(host);
            -free_milli / capacity_milli - if is_mixed { MIX_DEDUCTION } else { 0.0 }
        } else {
            left_milli / capacity_milli
        };
        if step.rack.as_ref().is_some_and(has_label) {
            score += RACK_ADDITION;
        }
        Some(score)
    }

    fn has_sensitive(&self, host: &Host) -> bool {
        let mut runs = host.runs.iter();
        runs.any(|key| self.runs.get(*key).is_some_and(|run| run.is_sensitive))
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
