//! Usage and run-time estimates for each kind of batch work.

use toucanquay_model::{Resources, exchange::TaskUsage};

use super::{Settings, histogram::Histogram};

/// Run time assumed for a kind until one of its tasks has finished, in microseconds.
const DEFAULT_RUN_MICROS: u64 = 10_000_000;

/// Finished runs required before a kind can be classified as long.
const LONG_RUNS_MIN: u32 = 5;

/// Smallest processor reservation. A task that has been idle can become active at any time.
const PROCESSORS_MILLI_MIN: u32 = 100;

/// Smallest memory reservation. It covers a process that has only begun to allocate.
const MEMORY_MB_MIN: u32 = 64;

/// A kind of batch work of one team.
#[derive(Debug, Clone)]
pub(super) struct Kind {
    /// Maximum number of running tasks.
    pub running_max: Option<u32>,
    /// Number of running tasks.
    pub running: u32,
    processors_milli: Histogram,
    memory_mb: Histogram,
    run_micros: Histogram,
    /// Usage samples seen so far.
    samples: u32,
    finished_runs: u32,
    /// Usage estimate, cached from the histograms because every placement reads it.
    estimate: Resources,
    median_run_micros: u64,
    p90_run_micros: u64,
}

impl Kind {
    pub fn new() -> Self {
        Self {
            running_max: None,
            running: 0,
            processors_milli: Histogram::new(),
            memory_mb: Histogram::new(),
            run_micros: Histogram::new(),
            samples: 0,
            finished_runs: 0,
            estimate: Resources::ZERO,
            median_run_micros: DEFAULT_RUN_MICROS,
            p90_run_micros: DEFAULT_RUN_MICROS,
        }
    }

    /// Adds a usage sample of one task. Returns whether the number of samples just reached
    /// `samples_min`, from which reservations may go below the declared demand.
    pub fn observe(&mut self, usage: &TaskUsage, settings: &Settings) -> bool {
        self.processors_milli.add(usage.processors_milli.into());
        self.memory_mb.add(usage.memory_mb.into());
        self.samples += 1;
        // Processors are time-shared, so a reservation may ignore rare peaks. Memory is not, so it
        // must cover the peak.
        let processors = self.processors_milli.quantile(0.95);
        self.estimate = Resources {
            processors_milli: u32::try_from(processors).unwrap_or(u32::MAX),
            memory_mb: u32::try_from(self.memory_mb.max()).unwrap_or(u32::MAX),
            accelerators: 0,
        };
        self.samples == settings.samples_min
    }

    /// Records the run time of a finished task.
    pub fn record_run_time(&mut self, run_micros: u64) {
        self.run_micros.add(run_micros);
        self.finished_runs += 1;
        self.median_run_micros = self.run_micros.quantile(0.5);
        self.p90_run_micros = self.run_micros.quantile(0.9);
    }

    /// Returns the reservation for a task with the demand `declared`.
    pub fn reservation(&self, declared: &Resources, settings: &Settings) -> Resources {
        if self.samples == 0 {
            return *declared;
        }
        let with_margin = |amount: u32| (f64::from(amount) * settings.memory_margin).ceil() as u32;
        // The minimums guard against measurements that are too low.
        let estimate = Resources {
            processors_milli: self.estimate.processors_milli.max(PROCESSORS_MILLI_MIN),
            memory_mb: with_margin(self.estimate.memory_mb).max(MEMORY_MB_MIN),
            accelerators: declared.accelerators,
        };
        if self.samples < settings.samples_min {
            return declared.max(&estimate);
        }
        estimate
    }

    /// Returns the median run time.
    pub const fn median_run_micros(&self) -> u64 {
        self.median_run_micros
    }

    /// Returns the 90th percentile of the run time.
    pub const fn p90_run_micros(&self) -> u64 {
        self.p90_run_micros
    }

    /// Returns whether the median run time is known and exceeds the limit for short tasks.
    pub const fn is_long(&self, settings: &Settings) -> bool {
        self.finished_runs >= LONG_RUNS_MIN
            && self.median_run_micros > settings.short_task_max_micros
    }
}
