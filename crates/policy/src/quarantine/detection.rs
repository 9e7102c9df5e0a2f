//! Detection and quarantine of faulty workers.

use std::collections::{BTreeMap, HashMap};

use foldhash::fast::RandomState;
use toucanquay_model::{Time, job, worker};

use super::{
    Admission, Settings, outcome_counts::OutcomeCounts, quarantined_worker::QuarantinedWorker,
};

/// Weight below which outcomes are discarded.
const WEIGHT_MIN: f64 = 0.05;

/// Outcome counts by worker and job, and the workers in quarantine.
///
/// # Examples
///
/// ```
/// use toucanquay_model::{Time, job, worker};
/// use toucanquay_policy::quarantine::{Admission, Quarantine, Settings};
///
/// let mut quarantine = Quarantine::new(Settings::default());
/// let (good, bad) = (worker::Id::from("good"), worker::Id::from("bad"));
/// for name in ["w1", "w2", "w3", "good", "bad"] {
///     quarantine.add_worker(&worker::Id::from(name));
/// }
/// for name in ["a", "b", "c", "d"] {
///     quarantine.record_outcome(&good, &job::Id::from(name), true, Time::ZERO);
///     quarantine.record_outcome(&bad, &job::Id::from(name), false, Time::ZERO);
/// }
/// assert_eq!(quarantine.admission(&bad, Time::ZERO), Admission::Denied);
/// assert_eq!(quarantine.admission(&good, Time::ZERO), Admission::Allowed);
/// assert!(!quarantine.is_job_faulty(&job::Id::from("a"), Time::ZERO));
/// ```
#[derive(Debug)]
pub struct Quarantine {
    settings: Settings,
    workers: HashMap<worker::Id, BTreeMap<job::Id, OutcomeCounts>, RandomState>,
    jobs: HashMap<job::Id, BTreeMap<worker::Id, OutcomeCounts>, RandomState>,
    quarantined: BTreeMap<worker::Id, QuarantinedWorker>,
}

impl Quarantine {
    /// Returns an instance without workers.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            workers: HashMap::default(),
            jobs: HashMap::default(),
            quarantined: BTreeMap::new(),
        }
    }

    /// Adds a worker. The number of workers limits how many may be in quarantine at once.
    pub fn add_worker(&mut self, worker: &worker::Id) {
        self.workers.entry(worker.clone()).or_default();
    }

    /// Removes a worker and its outcomes.
    pub fn remove_worker(&mut self, worker: &worker::Id) {
        self.quarantined.remove(worker);
        for job in self.workers.remove(worker).unwrap_or_default().into_keys() {
            if let Some(workers) = self.jobs.get_mut(&job) {
                workers.remove(worker);
            }
        }
    }

    /// Removes the outcomes of a job that has ended.
    pub fn remove_job(&mut self, job: &job::Id) {
        for worker in self.jobs.remove(job).unwrap_or_default().into_keys() {
            if let Some(jobs) = self.workers.get_mut(&worker) {
                jobs.remove(job);
            }
        }
    }

    /// Records the outcome of an attempt that was not stopped from outside. This may put the worker
    /// into quarantine or end its quarantine.
    pub fn record_outcome(
        &mut self,
        worker: &worker::Id,
        job: &job::Id,
        is_success: bool,
        now: Time,
    ) {
        let half_life = self.settings.half_life_micros;
        let jobs = self.workers.entry(worker.clone()).or_default();
        let counts = jobs.entry(job.clone()).or_default();
        counts.add(is_success, now, half_life);
        jobs.retain(|_, counts| counts.decayed_to(now, half_life).total() >= WEIGHT_MIN);
        let workers = self.jobs.entry(job.clone()).or_default();
        let counts = workers.entry(worker.clone()).or_default();
        counts.add(is_success, now, half_life);
        if self.quarantined.contains_key(worker) {
            self.record_probe_result(worker, is_success, now);
        } else if !is_success
            && self.is_worker_faulty(worker, now)
            && self.has_quarantine_capacity()
        {
            self.quarantine_worker(worker, now);
        }
    }

    /// Returns whether tasks may start on a worker.
    #[must_use]
    pub fn admission(&self, worker: &worker::Id, now: Time) -> Admission {
        match self.quarantined.get(worker) {
            None => Admission::Allowed,
            Some(state) if state.probe_at <= now => Admission::Probe,
            Some(_) => Admission::Denied,
        }
    }

    /// Records the start of the task allowed by [`Admission::Probe`].
    ///
    /// If its outcome is never recorded, another probe is allowed after the current interval.
    pub fn start_probe(&mut self, worker: &worker::Id, now: Time) {
        if let Some(state) = self.quarantined.get_mut(worker) {
            state.probe_at = now.plus_micros(state.interval_micros);
            state.is_probing = true;
        }
    }

    /// Returns whether a job itself is faulty: it failed on several workers and never succeeded,
    /// while those workers succeed with other jobs.
    #[must_use]
    pub fn is_job_faulty(&self, job: &job::Id, now: Time) -> bool {
        let Some(workers) = self.jobs.get(job) else {
            return false;
        };
        let half_life = self.settings.half_life_micros;
        let has_success = workers
            .values()
            .any(|counts| counts.decayed_to(now, half_life).successes >= WEIGHT_MIN);
        let healthy_workers = workers
            .keys()
            .filter(|worker| !self.quarantined.contains_key(*worker))
            .filter(|worker| self.succeeds_with_other_jobs(worker, job, now))
            .count();
        !has_success && healthy_workers >= self.settings.failing_workers_min.min(self.workers.len())
    }

    /// Returns the workers in quarantine.
    pub fn quarantined(&self) -> impl Iterator<Item = &worker::Id> {
        self.quarantined.keys()
    }

    /// Returns whether a worker's failures are frequent and not explained by its jobs.
    fn is_worker_faulty(&self, worker: &worker::Id, now: Time) -> bool {
        let half_life = self.settings.half_life_micros;
        let Some(jobs) = self.workers.get(worker) else {
            return false;
        };
        let mut unexplained = 0.0;
        let mut successes = 0.0;
        for (job, counts) in jobs {
            let counts = counts.decayed_to(now, half_life);
            successes += counts.successes;
            let (share_elsewhere, is_tried_elsewhere) =
                self.failure_share_elsewhere(job, worker, now);
            // If no other worker has tried the job, repeated failures are as much evidence against
            // the job as against the worker, so they count once.
            let failures = match is_tried_elsewhere {
                true => counts.failures,
                false => counts.failures.min(1.0),
            };
            unexplained += failures * (1.0 - share_elsewhere);
        }
        let share = unexplained / (unexplained + successes).max(f64::MIN_POSITIVE);
        unexplained >= self.settings.failures_min && share >= self.settings.failure_share_min
    }

    /// Returns the average failure share of a job over the other workers that are not in
    /// quarantine, and whether any of them has tried it. A prior of one half with the weight of one
    /// worker keeps the average near one half while few workers have tried the job. All workers
    /// have the same weight, so that one faulty worker cannot make a job look faulty.
    fn failure_share_elsewhere(
        &self,
        job: &job::Id,
        worker: &worker::Id,
        now: Time,
    ) -> (f64, bool) {
        let half_life = self.settings.half_life_micros;
        let others = self.jobs.get(job).into_iter().flatten();
        let (mut failures, mut total) = (0.5, 1.0);
        for (other, counts) in others {
            let counts = counts.decayed_to(now, half_life);
            if other != worker
                && !self.quarantined.contains_key(other)
                && counts.total() >= WEIGHT_MIN
            {
                failures += counts.failures / counts.total();
                total += 1.0;
            }
        }
        (failures / total, total > 1.0)
    }

    fn succeeds_with_other_jobs(&self, worker: &worker::Id, job: &job::Id, now: Time) -> bool {
        let half_life = self.settings.half_life_micros;
        let jobs = self.workers.get(worker).into_iter().flatten();
        jobs.filter(|(other, _)| *other != job)
            .any(|(_, counts)| counts.decayed_to(now, half_life).successes >= WEIGHT_MIN)
    }

    /// Returns whether one more worker may be quarantined. With more than one worker, at least one
    /// may be.
    fn has_quarantine_capacity(&self) -> bool {
        let limit =
            (self.workers.len() as f64 * self.settings.quarantined_share_max).floor() as usize;
        self.quarantined.len() < limit.max(usize::from(self.workers.len() > 1))
    }

    fn quarantine_worker(&mut self, worker: &worker::Id, now: Time) {
        let state = QuarantinedWorker {
            probe_at: now.plus_micros(self.settings.probe_interval_micros),
            interval_micros: self.settings.probe_interval_micros,
            is_probing: false,
            successes: 0,
        };
        self.quarantined.insert(worker.clone(), state);
    }

    fn record_probe_result(&mut self, worker: &worker::Id, is_success: bool, now: Time) {
        // Tasks started before the quarantine are no evidence of recovery.
        let Some(state) = self
            .quarantined
            .get_mut(worker)
            .filter(|state| state.is_probing)
        else {
            return;
        };
        state.is_probing = false;
        if is_success {
            state.successes += 1;
            state.probe_at = now;
        } else {
            state.successes = 0;
            let interval = state.interval_micros * 2;
            state.interval_micros = interval.min(self.settings.probe_interval_max_micros);
            state.probe_at = now.plus_micros(state.interval_micros);
        }
        if state.successes >= self.settings.probe_successes_min {
            self.quarantined.remove(worker);
            self.clear_outcomes(worker);
        }
    }

    /// Discards the outcomes of a worker that has recovered.
    fn clear_outcomes(&mut self, worker: &worker::Id) {
        let jobs = self.workers.get_mut(worker).map(std::mem::take);
        for job in jobs.unwrap_or_default().into_keys() {
            if let Some(workers) = self.jobs.get_mut(&job) {
                workers.remove(worker);
            }
        }
    }
}
