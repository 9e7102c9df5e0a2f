//! Benchmarks of placement decisions.

use std::hint::black_box;
use std::time::{Duration, Instant};

use criterion::{BatchSize, BenchmarkId, Criterion, Throughput, criterion_group, criterion_main};
use toucanquay_model::{
    Attempt, Resources, Time,
    exchange::{ServiceUsage, TaskUsage},
    job,
    job::Urgency,
    task, worker,
};
use toucanquay_policy::{
    batch::{Backlog, Job, Outcome, Settings, WorkerResources},
    interfere::{self, InterferenceModel},
};

const CAPACITY: Resources = Resources {
    processors_milli: 16_000,
    memory_mb: 62_000,
    accelerators: 0,
};

const DEMAND: Resources = Resources {
    processors_milli: 1_000,
    memory_mb: 2_000,
    accelerators: 0,
};

/// Number of jobs over which the waiting tasks are distributed.
const JOBS: u32 = 50;

fn job(number: u32) -> Job {
    Job {
        id: job::Id(format!("job-{number}")),
        team: format!("team-{}", number % 10),
        kind: format!("kind-{}", number % 8),
        demand: DEMAND,
        urgency: Urgency::Normal,
        finish_by: None,
    }
}

/// Cell of workers with running tasks, and an interference model with one service per worker.
struct Cell {
    backlog: Backlog,
    interference: InterferenceModel,
    workers: Vec<WorkerResources>,
    running: Vec<(usize, task::Id)>,
    pushed: u32,
    /// Whether every worker rejects all tasks, which is the worst case for the cost of a decision.
    is_refused: bool,
}

impl Cell {
    fn new(workers: usize, tasks: u32) -> Self {
        let resources =
            |index| WorkerResources::new(worker::Id(format!("worker-{index}")), CAPACITY);
        let mut cell = Self {
            backlog: Backlog::new(Settings::default()),
            interference: InterferenceModel::new(interfere::Settings::default()),
            workers: (0..workers).map(resources).collect(),
            running: Vec::new(),
            pushed: 0,
            is_refused: false,
        };
        for resources in &cell.workers {
            cell.backlog
                .add_worker(&resources.worker, CAPACITY, Time::ZERO);
        }
        cell.push(workers as u32 * tasks);
        cell.assign(Time::ZERO);
        for index in 0..workers {
            cell.observe(index, Time::from_millis(1_000));
        }
        cell
    }

    fn push(&mut self, count: u32) {
        let first = self.pushed;
        for number in 0..JOBS {
            let indexes = (first..first + count).filter(|index| index % JOBS == number);
            self.backlog.push(&job(number), indexes, Time::ZERO);
        }
        self.pushed += count;
    }

    fn assign(&mut self, now: Time) -> usize {
        let interference = &self.interference;
        let is_refused = self.is_refused;
        let cost = |resources: &WorkerResources, kind: &str| {
            let cost = interference.placement_cost(&resources.worker, kind, now);
            cost.filter(|_| !is_refused)
        };
        let assignments = self
            .backlog
            .assign(&mut self.workers, now, usize::MAX, cost);
        for assignment in &assignments {
            let worker = &self.workers[assignment.worker_index].worker;
            let kind = "kind-1";
            self.interference.start(worker, &assignment.task, kind, now);
            self.running
                .push((assignment.worker_index, assignment.task.clone()));
        }
        assignments.len()
    }

    fn end(&mut self, position: usize, now: Time) {
        let (worker_index, task) = self.running.swap_remove(position);
        let reserved = self.backlog.end_attempt(&task, Outcome::Finished, now);
        self.workers[worker_index].free = self.workers[worker_index]
            .free
            .plus(&reserved.expect("the task runs"));
        self.interference
            .stop(&self.workers[worker_index].worker, &task, now);
    }

    fn observe(&mut self, index: usize, now: Time) {
        let usage = ServiceUsage {
            service: "lookup".to_owned(),
            age_micros: 100_000,
            window_micros: 1_000_000,
            requests: 100,
            p50_micros: 10_000 + index as u32 % 7 * 300,
            p99_micros: 30_000,
            in_flight_max: 4,
        };
        let worker = &self.workers[index].worker;
        for (_, task) in self
            .running
            .iter()
            .filter(|(worker_index, _)| *worker_index == index)
        {
            let usage = TaskUsage {
                task: task.clone(),
                attempt: Attempt::default(),
                age_micros: 100_000,
                window_micros: 1_000_000,
                processors_milli: 900,
                memory_mb: 1_800,
            };
            self.backlog.observe(&usage, now);
            self.interference.observe_task(worker, &usage, now);
        }
        self.interference.observe_service(worker, &usage, now);
    }
}

/// Measures ending one task and starting the next, with 14 running tasks per worker.
fn decision(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("placement/decision");
    for workers in [11usize, 200, 2_000, 22_000] {
        let mut cell = Cell::new(workers, 14);
        let mut micros = 2_000_000;
        let mut count = 0;
        group.bench_function(BenchmarkId::from_parameter(workers), |bencher| {
            bencher.iter(|| {
                // Tasks run for 20 s, so 14 tasks per worker give 0.7 starts per worker and second.
                micros += 1_428_571 / workers as u64;
                count += 1;
                let now = Time::from_micros(micros);
                cell.end(count * 31 % cell.running.len(), now);
                cell.push(1);
                black_box(cell.assign(now))
            });
        });
    }
    group.finish();
}

/// Measures one second of a cell of 200 workers with 2,800 running tasks: each worker reports its
/// 14 tasks and one service, and 140 tasks start and end in total. The time per iteration in
/// milliseconds, divided by ten, is the load on one core in percent.
fn one_second(criterion: &mut Criterion) {
    const WORKERS: usize = 200;
    const STARTS: usize = 140;
    let mut cell = Cell::new(WORKERS, 14);
    assert_eq!(cell.running.len(), 2_800);
    let mut millis = 2_000;
    let mut group = criterion.benchmark_group("placement/cell");
    group.throughput(Throughput::Elements(STARTS as u64));
    group.bench_function("second", |bencher| {
        bencher.iter(|| {
            for index in 0..WORKERS {
                millis += 5;
                let now = Time::from_millis(millis);
                cell.observe(index, now);
                if index < STARTS {
                    cell.end(millis as usize * 31 % cell.running.len(), now);
                    cell.push(1);
                }
                black_box(cell.assign(now));
                let worker = cell.workers[index].worker.clone();
                black_box(cell.interference.advise(&worker, now));
            }
        });
    });
    // Jobs of all kinds wait and every worker has free resources, but all of them reject the tasks.
    cell.is_refused = true;
    for _ in 0..200 {
        cell.end(0, Time::from_millis(millis));
    }
    cell.push(500);
    group.bench_function("second, all refused", |bencher| {
        bencher.iter(|| {
            for index in 0..WORKERS {
                millis += 5;
                let now = Time::from_millis(millis);
                cell.observe(index, now);
                black_box(cell.assign(now));
            }
        });
    });
    group.finish();
}

/// Measures 10,000 cancellations, as ten jobs of 1,000 tasks each or task by task, and prints the
/// longest single call.
fn cancellation(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("placement/cancellation");
    let filled = || {
        let mut backlog = Backlog::new(Settings::default());
        for number in 0..10 {
            backlog.push(&job(number), 0..1_000, Time::ZERO);
        }
        backlog
    };
    let mut longest = Duration::ZERO;
    let mut timed = |call: &mut dyn FnMut()| {
        let started = Instant::now();
        call();
        longest = longest.max(started.elapsed());
    };
    group.bench_function("by job", |bencher| {
        bencher.iter_batched_ref(
            filled,
            |backlog| {
                for number in 0..10 {
                    let id = job(number).id;
                    timed(&mut || assert_eq!(backlog.remove_job(&id, Time::ZERO), 1_000));
                }
            },
            BatchSize::LargeInput,
        );
    });
    group.bench_function("by task", |bencher| {
        bencher.iter_batched_ref(
            filled,
            |backlog| {
                for index in 0..10_000 {
                    let task = task::Id::new(job(index % 10).id, index / 10);
                    timed(&mut || assert!(backlog.remove(&task, Time::ZERO)));
                }
            },
            BatchSize::LargeInput,
        );
    });
    group.finish();
    println!(
        "longest single cancellation call: {} us",
        longest.as_micros()
    );
}

criterion_group!(benches, decision, one_second, cancellation);
criterion_main!(benches);
