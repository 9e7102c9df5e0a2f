//! Kinds of batch work with their actual usage and declared demand.

use toucanquay_model::Resources;

/// A kind of batch work in the load model.
#[derive(Debug)]
pub struct Kind {
    pub name: &'static str,
    pub declared: Resources,
    /// Actual use of processors, in thousandths.
    pub processors_milli: u32,
    /// Actual use of memory, in megabytes.
    pub memory_mb: u32,
    pub run_median_seconds: f64,
    /// Share of tasks that run `long_factor` times longer.
    pub long_share: f64,
    pub long_factor: f64,
    /// Logarithm of the factor by which one task raises lookup latency at medium load.
    pub slowdown: f64,
    /// Share of the offered work.
    pub work_share: f64,
    pub tasks_per_job: u32,
    /// Whether its wait is reported in the columns for short tasks.
    pub is_short: bool,
}

const fn size(processors_milli: u32, memory_mb: u32) -> Resources {
    Resources {
        processors_milli,
        memory_mb,
        accelerators: 0,
    }
}

impl Kind {
    pub const DOLMARU: [Self; 4] = [
        Self {
            name: "check",
            declared: size(4_000, 8_000),
            processors_milli: 1_000,
            memory_mb: 1_000,
            run_median_seconds: 5.0,
            long_share: 0.0,
            long_factor: 1.0,
            slowdown: 0.01,
            work_share: 0.1,
            tasks_per_job: 4,
            is_short: true,
        },
        Self {
            name: "plan",
            declared: size(4_000, 16_000),
            processors_milli: 2_000,
            memory_mb: 4_000,
            run_median_seconds: 40.0,
            long_share: 0.03,
            long_factor: 30.0,
            slowdown: 0.04,
            work_share: 0.4,
            tasks_per_job: 40,
            is_short: false,
        },
        Self {
            name: "mesh",
            declared: size(2_000, 4_000),
            processors_milli: 4_000,
            memory_mb: 9_000,
            run_median_seconds: 120.0,
            long_share: 0.0,
            long_factor: 1.0,
            slowdown: 0.25,
            work_share: 0.2,
            tasks_per_job: 10,
            is_short: false,
        },
        Self {
            name: "survey",
            declared: size(8_000, 24_000),
            processors_milli: 2_000,
            memory_mb: 12_000,
            run_median_seconds: 600.0,
            long_share: 0.05,
            long_factor: 4.0,
            slowdown: 0.02,
            work_share: 0.3,
            tasks_per_job: 10,
            is_short: false,
        },
    ];

    pub const CASCADE: [Self; 4] = [
        Self {
            name: "quote",
            declared: size(2_000, 4_000),
            processors_milli: 500,
            memory_mb: 800,
            run_median_seconds: 4.0,
            long_share: 0.0,
            long_factor: 1.0,
            slowdown: 0.01,
            work_share: 0.08,
            tasks_per_job: 2,
            is_short: true,
        },
        Self {
            name: "contract",
            declared: size(2_000, 8_000),
            processors_milli: 1_000,
            memory_mb: 3_000,
            run_median_seconds: 30.0,
            long_share: 0.02,
            long_factor: 40.0,
            slowdown: 0.05,
            work_share: 0.42,
            tasks_per_job: 30,
            is_short: false,
        },
        Self {
            name: "claims",
            declared: size(1_000, 2_000),
            processors_milli: 2_000,
            memory_mb: 5_000,
            run_median_seconds: 90.0,
            long_share: 0.0,
            long_factor: 1.0,
            slowdown: 0.35,
            work_share: 0.2,
            tasks_per_job: 6,
            is_short: false,
        },
        Self {
            name: "history",
            declared: size(4_000, 20_000),
            processors_milli: 1_000,
            memory_mb: 9_000,
            run_median_seconds: 500.0,
            long_share: 0.05,
            long_factor: 4.0,
            slowdown: 0.03,
            work_share: 0.3,
            tasks_per_job: 8,
            is_short: false,
        },
    ];

    /// Returns the mean work of one task in processor-seconds. Run times are log-normal.
    pub fn work_mean(&self) -> f64 {
        let spread = (crate::random::RUN_SIGMA * crate::random::RUN_SIGMA / 2.0).exp();
        let long = 1.0 + self.long_share * (self.long_factor - 1.0);
        self.run_median_seconds * spread * long * f64::from(self.processors_milli) / 1_000.0
    }
}
