//! Measurements of simulation runs.

use hdrhistogram::Histogram;

/// Histograms and counts of one or more runs.
#[derive(Debug)]
pub struct Measurements {
    /// Latency of lookups, in microseconds.
    pub lookups: Histogram<u64>,
    /// Latency of lookups that arrived during a demand peak, in microseconds.
    pub at_peak: Histogram<u64>,
    /// Time from submission to the first start of short tasks, in milliseconds.
    pub short_wait: Histogram<u64>,
    /// Time from submission to the first start of all other tasks, in milliseconds.
    pub other_wait: Histogram<u64>,
    pub refused: u64,
    pub finished: u64,
    /// Work done by all tasks, in processor-seconds.
    pub work: f64,
    pub evictions: u64,
    pub throttles: u64,
    /// Reductions of a processor share that had just been raised. They indicate oscillation.
    pub reversals: u64,
    /// Attempts that failed because of a faulty worker or a lack of memory.
    pub failures: u64,
    pub seconds: u64,
}

impl Measurements {
    pub fn new() -> Self {
        let histogram = || Histogram::new(3).expect("three digits are supported");
        Self {
            lookups: histogram(),
            at_peak: histogram(),
            short_wait: histogram(),
            other_wait: histogram(),
            refused: 0,
            finished: 0,
            work: 0.0,
            evictions: 0,
            throttles: 0,
            reversals: 0,
            failures: 0,
            seconds: 0,
        }
    }

    pub fn merge(&mut self, other: &Self) {
        let merge = |into: &mut Histogram<u64>, from| into.add(from).expect("histograms resize");
        merge(&mut self.lookups, &other.lookups);
        merge(&mut self.at_peak, &other.at_peak);
        merge(&mut self.short_wait, &other.short_wait);
        merge(&mut self.other_wait, &other.other_wait);
        self.refused += other.refused;
        self.finished += other.finished;
        self.work += other.work;
        self.evictions += other.evictions;
        self.throttles += other.throttles;
        self.reversals += other.reversals;
        self.failures += other.failures;
        self.seconds += other.seconds;
    }
}
