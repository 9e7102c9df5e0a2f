//! Tests of the interference model and its advice.

use std::collections::{BTreeMap, VecDeque};

use rand::{RngExt, SeedableRng, rngs::StdRng};
use rstest::rstest;
use toucanquay_model::{Time, exchange::ServiceUsage, task, worker};
use toucanquay_policy::interfere::{Advice, InterferenceModel, Settings};

const SECOND: u64 = 1_000_000;

/// Simulated workers on which the latency of a service depends only on the tasks and their shares.
struct Cell {
    model: InterferenceModel,
    rng: StdRng,
    /// Kind and share of each running task, by worker.
    running_tasks: Vec<BTreeMap<task::Id, (&'static str, u8)>>,
    reports: VecDeque<(u64, usize, ServiceUsage)>,
    lag_seconds: u64,
    now: u64,
    task_count: u32,
    /// Numbers of changes by advice: lowered shares, raised shares and evictions.
    lowered: u32,
    raised: u32,
    evicted: u32,
}

impl Cell {
    fn new(workers: usize, lag_seconds: u64, settings: Settings) -> Self {
        Self {
            model: InterferenceModel::new(settings),
            rng: StdRng::seed_from_u64(7),
            running_tasks: vec![BTreeMap::new(); workers],
            reports: VecDeque::new(),
            lag_seconds,
            now: 0,
            task_count: 0,
            lowered: 0,
            raised: 0,
            evicted: 0,
        }
    }

    fn worker(index: usize) -> worker::Id {
        worker::Id(format!("w{index}"))
    }

    const fn time(&self) -> Time {
        Time::from_micros(self.now * SECOND)
    }

    fn start(&mut self, index: usize, kind: &'static str) {
        self.task_count += 1;
        let task = task::Id::new(kind.into(), self.task_count);
        self.model
            .start(&Self::worker(index), &task, kind, self.time());
        self.running_tasks[index].insert(task, (kind, 100));
    }

    fn stop(&mut self, index: usize, task: &task::Id) {
        self.model.stop(&Self::worker(index), task, self.time());
        self.running_tasks[index].remove(task);
    }

    /// Simulates one second. `slowdown` returns the logarithm of the latency factor of a kind.
    fn step(&mut self, in_flight_max: u32, slowdown: impl Fn(&str) -> f64) {
        self.now += 1;
        for index in 0..self.running_tasks.len() {
            let running_tasks = self.running_tasks[index].values();
            let sum: f64 = running_tasks
                .map(|(kind, share)| slowdown(kind) * f64::from(*share) / 100.0)
                .sum();
            let noise = self.rng.random_range(-0.1..0.1);
            let micros = (10_000.0 * (sum + noise).exp()) as u32;
            let usage = ServiceUsage {
                service: "lookup".to_owned(),
                age_micros: self.lag_seconds * SECOND,
                window_micros: SECOND,
                requests: 100,
                p50_micros: micros,
                p99_micros: micros * 3,
                in_flight_max,
            };
            self.reports
                .push_back((self.now + self.lag_seconds, index, usage));
        }
        while self
            .reports
            .front()
            .is_some_and(|report| report.0 <= self.now)
        {
            let (_, index, usage) = self.reports.pop_front().expect("there is a report");
            self.model
                .observe_service(&Self::worker(index), &usage, self.time());
        }
    }

    /// Carries out the current advice for all workers.
    fn apply_advice(&mut self) {
        for index in 0..self.running_tasks.len() {
            for advice in self.model.advise(&Self::worker(index), self.time()) {
                match advice {
                    Advice::Throttle {
                        task,
                        share_percent,
                    } => {
                        let running = self.running_tasks[index]
                            .get_mut(&task)
                            .expect("the task runs");
                        self.lowered += u32::from(share_percent < running.1);
                        self.raised += u32::from(share_percent > running.1);
                        running.1 = share_percent;
                    }
                    Advice::Evict { task } => {
                        self.evicted += 1;
                        self.stop(index, &task);
                    }
                }
            }
        }
    }

    /// Starts and stops noisy and quiet tasks, without advice, so that the model can distinguish
    /// them.
    fn train(&mut self) {
        for second in 0..600u64 {
            for index in 0..self.running_tasks.len() {
                let phase = second + index as u64 * 13;
                if phase.is_multiple_of(40) {
                    self.running_tasks[index]
                        .keys()
                        .cloned()
                        .collect::<Vec<_>>()
                        .iter()
                        .for_each(|task| {
                            self.stop(index, task);
                        });
                    // Each kind also runs without the other, so that the two can be distinguished
                    // from each other and from the service's base latency.
                    if !(phase / 40).is_multiple_of(3) {
                        self.start(index, "quiet");
                    }
                    if (phase / 40).is_multiple_of(2) {
                        self.start(index, "noisy");
                    }
                }
            }
            self.step(3, true_slowdown);
        }
        for index in 0..self.running_tasks.len() {
            for task in self.running_tasks[index]
                .keys()
                .cloned()
                .collect::<Vec<_>>()
            {
                self.stop(index, &task);
            }
        }
    }
}

fn true_slowdown(kind: &str) -> f64 {
    if kind == "noisy" { 0.8 } else { 0.0 }
}

/// Guards against an estimator that cannot distinguish two kinds, including when reports are
/// delayed.
#[rstest]
#[case(1)]
#[case(30)]
fn slowdown_is_learned_despite_the_lag(#[case] lag_seconds: u64) {
    let mut cell = Cell::new(4, lag_seconds, Settings::default());

    cell.train();

    let noisy = cell.model.slowdown("lookup", "noisy");
    let quiet = cell.model.slowdown("lookup", "quiet");
    assert!(noisy > 0.5, "{noisy}");
    assert!(quiet < 0.2, "{quiet}");
}

/// Guards against placement costs that ignore the learned slowdown.
#[test]
fn placement_cost_prefers_the_worker_without_noisy_tasks() {
    let mut cell = Cell::new(2, 1, Settings::default());
    cell.train();
    cell.start(0, "noisy");

    let (busy, free) = (Cell::worker(0), Cell::worker(1));
    assert!(cell.model.penalty(&busy, "noisy") > cell.model.penalty(&free, "noisy"));
    assert_eq!(cell.model.placement_cost(&busy, "noisy", cell.time()), None);
    assert!(
        cell.model
            .placement_cost(&busy, "quiet", cell.time())
            .is_some()
    );
}

/// Guards against eviction where throttling suffices, and against throttling the wrong task.
#[test]
fn noisy_task_is_throttled_and_not_evicted() {
    let mut cell = Cell::new(2, 1, Settings::default());
    cell.train();
    cell.start(0, "quiet");
    cell.start(0, "noisy");

    for _ in 0..60 {
        cell.step(3, true_slowdown);
        cell.apply_advice();
    }

    let shares: BTreeMap<&str, u8> = cell.running_tasks[0].values().copied().collect();
    assert_eq!(shares["quiet"], 100);
    assert!(shares["noisy"] < 100, "{shares:?}");
    assert_eq!(cell.evicted, 0);
}

/// Guards against shares that oscillate with the demand when delayed reports arrive only after the
/// demand has changed again.
#[rstest]
#[case::lag_shorter(1)]
#[case::lag_longer(10)]
fn shares_do_not_oscillate(#[case] lag_seconds: u64) {
    let mut cell = Cell::new(4, lag_seconds, Settings::default());
    cell.train();
    for index in 0..4 {
        cell.start(index, "quiet");
        cell.start(index, "noisy");
    }

    // Demand and slowdown oscillate with a period of 6 s.
    for second in 0..1_200 {
        let is_peak = second % 6 < 3;
        let factor = if is_peak { 1.3 } else { 0.7 };
        cell.step(if is_peak { 8 } else { 2 }, |kind| {
            factor * true_slowdown(kind)
        });
        cell.apply_advice();
    }

    // One decrease per worker, plus two raises and decreases per worker in 20 minutes while the
    // estimates converge.
    assert!(cell.lowered >= 4, "{}", cell.lowered);
    assert!(
        cell.lowered + cell.raised <= 20,
        "{} {}",
        cell.lowered,
        cell.raised
    );
}

/// Guards against attributing a slowdown to the kind that runs when the report arrives. A noisy
/// task, a quiet task and no task alternate with the period of the lag, so that reports about the
/// noisy task arrive while the quiet task runs.
#[test]
fn late_report_is_attributed_to_the_kind_that_ran() {
    let mut cell = Cell::new(2, 30, Settings::default());

    for second in 0..600 {
        if second % 30 == 0 {
            for index in 0..2 {
                for task in cell.running_tasks[index]
                    .keys()
                    .cloned()
                    .collect::<Vec<_>>()
                {
                    cell.stop(index, &task);
                }
                match second % 90 {
                    0 => cell.start(index, "noisy"),
                    30 => cell.start(index, "quiet"),
                    _ => {}
                }
            }
        }
        cell.step(3, true_slowdown);
    }

    let noisy = cell.model.slowdown("lookup", "noisy");
    let quiet = cell.model.slowdown("lookup", "quiet");
    assert!(noisy > quiet + 0.2, "{noisy} {quiet}");
}

/// Guards against mass evictions when many tasks still slow down services at the minimum share.
#[test]
fn evictions_stay_within_the_budget() {
    let settings = Settings {
        eviction_burst: 2,
        eviction_interval_micros: 60 * SECOND,
        ..Settings::default()
    };
    let mut cell = Cell::new(8, 1, settings);
    cell.train();
    for index in 0..8 {
        for _ in 0..8 {
            cell.start(index, "noisy");
        }
    }

    for _ in 0..120 {
        cell.step(3, true_slowdown);
        cell.apply_advice();
    }

    assert!(cell.lowered > 0);
    assert!((1..=4).contains(&cell.evicted), "{}", cell.evicted);
}

/// Guards against eviction before the effect of throttling has been measured.
#[test]
fn no_eviction_before_a_report_after_throttling() {
    let mut cell = Cell::new(2, 20, Settings::default());
    cell.train();
    for _ in 0..8 {
        cell.start(0, "noisy");
    }

    for _ in 0..20 {
        cell.step(3, true_slowdown);
        cell.apply_advice();
    }

    assert!(cell.lowered > 0);
    assert_eq!(cell.evicted, 0);
}

/// Guards against a task that stays throttled after it no longer slows down the service.
#[test]
fn share_is_restored_after_the_load_ends() {
    let mut cell = Cell::new(2, 1, Settings::default());
    cell.train();
    cell.start(0, "noisy");
    for _ in 0..10 {
        cell.step(3, true_slowdown);
        cell.apply_advice();
    }
    assert!(cell.lowered > 0);

    for _ in 0..900 {
        cell.step(3, |_| 0.0);
        cell.apply_advice();
    }

    assert!(
        cell.running_tasks[0]
            .values()
            .all(|(_, share)| *share == 100),
        "{:?}",
        cell.running_tasks[0]
    );
}
