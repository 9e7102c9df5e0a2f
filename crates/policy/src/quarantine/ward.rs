//! Workers in quarantine and jobs that are blamed.

use std::collections::{BTreeMap, HashMap};

use foldhash::fast::RandomState;
use toucanquay_model::{Time, job, worker};

use super::{Admission, Settings, record::Record, stay::Stay};

/// Weight below which an outcome is forgotten.
const WEIGHT_MIN: f64 = 0.05;

/// Outcomes by worker and job, and the workers in quarantine.
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
///     quarantine.join(&worker::Id::from(name));
/// }
/// for name in ["a", "b", "c", "d"] {
///     quarantine.record(&good, &job::Id::from(name), true, Time::ZERO);
///     quarantine.record(&bad, &job::Id::from(name), false, Time::ZERO);
/// }
/// assert_eq!(quarantine.admission(&bad, Time::ZERO), Admission::Closed);
/// assert_eq!(quarantine.admission(&good, Time::ZERO), Admission::Open);
/// assert!(!quarantine.is_blamed(&job::Id::from("a"), Time::ZERO));
/// ```
#[derive(Debug)]
pub struct Quarantine {
    settings: Settings,
    workers: HashMap<worker::Id, BTreeMap<job::Id, Record>, RandomState>,
    jobs: HashMap<job::Id, BTreeMap<worker::Id, Record>, RandomState>,
    stays: BTreeMap<worker::Id, Stay>,
}

impl Quarantine {
    /// Returns a quarantine without workers.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            workers: HashMap::default(),
            jobs: HashMap::default(),
            stays: BTreeMap::new(),
        }
    }

    /// Adds a worker. The number of workers gives the floor.
    pub fn join(&mut self, worker: &worker::Id) {
        self.workers.entry(worker.clone()).or_default();
    }

    /// Forgets a worker.
    pub fn leave(&mut self, worker: &worker::Id) {
        self.stays.remove(worker);
        for job in self.workers.remove(worker).unwrap_or_default().into_keys() {
            if let Some(workers) = self.jobs.get_mut(&job) {
                workers.remove(worker);
            }
        }
    }

    /// Forgets a job that is over.
    pub fn forget(&mut self, job: &job::Id) {
        for worker in self.jobs.remove(job).unwrap_or_default().into_keys() {
            if let Some(jobs) = self.workers.get_mut(&worker) {
                jobs.remove(job);
            }
        }
    }

    /// Records that an attempt ended by itself, and puts the worker into quarantine or takes it
    /// out if that follows.
    pub fn record(&mut self, worker: &worker::Id, job: &job::Id, is_success: bool, now: Time) {
        let half_life = self.settings.half_life_micros;
        let jobs = self.workers.entry(worker.clone()).or_default();
        let record = jobs.entry(job.clone()).or_default();
        record.add(is_success, now, half_life);
        jobs.retain(|_, record| record.at(now, half_life).total() >= WEIGHT_MIN);
        let workers = self.jobs.entry(job.clone()).or_default();
        let record = workers.entry(worker.clone()).or_default();
        record.add(is_success, now, half_life);
        if self.stays.contains_key(worker) {
            self.record_probe(worker, is_success, now);
        } else if !is_success && self.is_suspect(worker, now) && self.has_place() {
            self.admit(worker, now);
        }
    }

    /// Tells whether tasks may start on a worker.
    #[must_use]
    pub fn admission(&self, worker: &worker::Id, now: Time) -> Admission {
        match self.stays.get(worker) {
            None => Admission::Open,
            Some(stay) if stay.probe_at <= now => Admission::Probe,
            Some(_) => Admission::Closed,
        }
    }

    /// Records that the one task that [`Admission::Probe`] allows was started.
    ///
    /// A probe whose outcome never comes is repeated after the present interval.
    pub fn probe(&mut self, worker: &worker::Id, now: Time) {
        if let Some(stay) = self.stays.get_mut(worker) {
            stay.probe_at = now.plus_micros(stay.interval_micros);
            stay.is_probing = true;
        }
    }

    /// Tells whether a job fails by itself: it failed on several workers, never succeeded, and
    /// those workers succeed with other jobs.
    #[must_use]
    pub fn is_blamed(&self, job: &job::Id, now: Time) -> bool {
        let Some(workers) = self.jobs.get(job) else {
            return false;
        };
        let half_life = self.settings.half_life_micros;
        let has_success = workers
            .values()
            .any(|record| record.at(now, half_life).successes >= WEIGHT_MIN);
        let witnesses = workers
            .keys()
            .filter(|worker| !self.stays.contains_key(*worker))
            .filter(|worker| self.succeeds_otherwise(worker, job, now))
            .count();
        !has_success && witnesses >= self.settings.workers_min.min(self.workers.len())
    }

    /// Returns the workers in quarantine.
    pub fn closed(&self) -> impl Iterator<Item = &worker::Id> {
        self.stays.keys()
    }

    /// Tells whether a worker's failures are frequent and not explained by the jobs.
    fn is_suspect(&self, worker: &worker::Id, now: Time) -> bool {
        let half_life = self.settings.half_life_micros;
        let Some(jobs) = self.workers.get(worker) else {
            return false;
        };
        let mut unexplained = 0.0;
        let mut successes = 0.0;
        for (job, record) in jobs {
            let record = record.at(now, half_life);
            successes += record.successes;
            let (failure_share, is_tried) = self.failure_elsewhere(job, worker, now);
            // Repeated failures of one job that no other worker has tried are no more evidence
            // against the worker than against the job, so they count once.
            let failures = match is_tried {
                true => record.failures,
                false => record.failures.min(1.0),
            };
            unexplained += failures * (1.0 - failure_share);
        }
        let share = unexplained / (unexplained + successes).max(f64::MIN_POSITIVE);
        unexplained >= self.settings.failures_min && share >= self.settings.failure_share
    }

    /// Returns the share of a job's attempts on other workers that failed, drawn to one half while
    /// few are known, and whether any other worker has tried it. Each worker counts once, so that
    /// one bad worker cannot discredit a job.
    fn failure_elsewhere(&self, job: &job::Id, worker: &worker::Id, now: Time) -> (f64, bool) {
        let half_life = self.settings.half_life_micros;
        let others = self.jobs.get(job).into_iter().flatten();
        let (mut failures, mut total) = (0.5, 1.0);
        for (other, record) in others {
            let record = record.at(now, half_life);
            if other != worker && !self.stays.contains_key(other) && record.total() >= WEIGHT_MIN {
                failures += record.failures / record.total();
                total += 1.0;
            }
        }
        (failures / total, total > 1.0)
    }

    fn succeeds_otherwise(&self, worker: &worker::Id, job: &job::Id, now: Time) -> bool {
        let half_life = self.settings.half_life_micros;
        let jobs = self.workers.get(worker).into_iter().flatten();
        jobs.filter(|(other, _)| *other != job)
            .any(|(_, record)| record.at(now, half_life).successes >= WEIGHT_MIN)
    }

    /// Tells whether one more worker may be closed without going below the floor.
    fn has_place(&self) -> bool {
        let most = (self.workers.len() as f64 * self.settings.share_max).floor() as usize;
        self.stays.len() < most.max(usize::from(self.workers.len() > 1))
    }

    fn admit(&mut self, worker: &worker::Id, now: Time) {
        let stay = Stay {
            probe_at: now.plus_micros(self.settings.probe_micros),
            interval_micros: self.settings.probe_micros,
            is_probing: false,
            successes: 0,
        };
        self.stays.insert(worker.clone(), stay);
    }

    fn record_probe(&mut self, worker: &worker::Id, is_success: bool, now: Time) {
        // Tasks that were started before the quarantine began say nothing about a recovery.
        let Some(stay) = self.stays.get_mut(worker).filter(|stay| stay.is_probing) else {
            return;
        };
        stay.is_probing = false;
        if is_success {
            stay.successes += 1;
            stay.probe_at = now;
        } else {
            stay.successes = 0;
            let interval = stay.interval_micros * 2;
            stay.interval_micros = interval.min(self.settings.probe_max_micros);
            stay.probe_at = now.plus_micros(stay.interval_micros);
        }
        if stay.successes >= self.settings.probes_min {
            self.stays.remove(worker);
            self.clear(worker);
        }
    }

    /// Forgets the outcomes of a worker that has recovered.
    fn clear(&mut self, worker: &worker::Id) {
        let jobs = self.workers.get_mut(worker).map(std::mem::take);
        for job in jobs.unwrap_or_default().into_keys() {
            if let Some(workers) = self.jobs.get_mut(&job) {
                workers.remove(worker);
            }
        }
    }
}
