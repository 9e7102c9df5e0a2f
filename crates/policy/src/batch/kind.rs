//! Kinds of batch work and what is learned of them.

use toucanquay_model::{Resources, exchange::TaskUsage};

use super::{Settings, histogram::Histogram};

/// Run time that is assumed of a kind of which no task has ended yet, in microseconds.
const DEFAULT_RUN_MICROS: u64 = 10_000_000;

/// Run times before a kind can count as long work.
const LONG_RUNS_MIN: u32 = 5;

/// Smallest reservation of processors. A task that looks idle can wake at any moment.
const PROCESSORS_MILLI_MIN: u32 = 100;

/// Smallest reservation of memory, which covers a process that has only just begun to allocate.
const MEMORY_MB_MIN: u32 = 64;

/// A kind of batch work of one team.
#[derive(Debug, Clone)]
pub(super) struct Kind {
    /// Most tasks that run at once.
    pub running_max: Option<u32>,
    /// Tasks that run.
    pub running: u32,
    processors_milli: Histogram,
    memory_mb: Histogram,
    run_micros: Histogram,
    samples: u32,
    finished_runs: u32,
    /// Cached from the histograms, since every placement reads it.
    learned: Resources,
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
            learned: Resources::ZERO,
            median_run_micros: DEFAULT_RUN_MICROS,
            p90_run_micros: DEFAULT_RUN_MICROS,
        }
    }

    /// Learns from a measured window of one task; tells whether this gave the first reservation
    /// that is not bound by the declared demand.
    pub fn observe(&mut self, usage: &TaskUsage, settings: &Settings) -> bool {
        self.processors_milli.add(usage.processors_milli.into());
        self.memory_mb.add(usage.memory_mb.into());
        self.samples += 1;
        // Processors are shared in time, so rare peaks may be cut; memory is not, so none may.
        let processors = self.processors_milli.quantile(0.95);
        self.learned = Resources {
            processors_milli: u32::try_from(processors).unwrap_or(u32::MAX),
            memory_mb: u32::try_from(self.memory_mb.max()).unwrap_or(u32::MAX),
            accelerators: 0,
        };
        self.samples == settings.samples_min
    }

    /// Learns the run time of a task that finished.
    pub fn record_run_time(&mut self, run_micros: u64) {
        self.run_micros.add(run_micros);
        self.finished_runs += 1;
        self.median_run_micros = self.run_micros.quantile(0.5);
        self.p90_run_micros = self.run_micros.quantile(0.9);
    }

    /// Returns what a task that declares `declared` should hold.
    pub fn reservation(&self, declared: &Resources, settings: &Settings) -> Resources {
        // The floors below guard against measurements that are too low.
        if self.samples == 0 {
            return *declared;
        }
        let with_margin = |amount: u32| (f64::from(amount) * settings.memory_margin).ceil() as u32;
        let learned = Resources {
            processors_milli: self.learned.processors_milli.max(PROCESSORS_MILLI_MIN),
            memory_mb: with_margin(self.learned.memory_mb).max(MEMORY_MB_MIN),
            accelerators: declared.accelerators,
        };
        if self.samples < settings.samples_min {
            return declared.max(&learned);
        }
        learned
    }

    /// Returns the median run time.
    pub const fn median_run_micros(&self) -> u64 {
        self.median_run_micros
    }

    /// Returns the run time that nine of ten tasks do not exceed.
    pub const fn p90_run_micros(&self) -> u64 {
        self.p90_run_micros
    }

    /// Tells whether most tasks of the kind are known to run for longer than short work does.
    pub const fn is_long(&self, settings: &Settings) -> bool {
        self.finished_runs >= LONG_RUNS_MIN
            && self.median_run_micros > settings.short_task_max_micros
    }
}
