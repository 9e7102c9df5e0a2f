//! Benchmark of a cell owner at the design target: 200 workers, 2,800 running tasks and 140 starts
//! per second. It also prints the sizes of messages and writes, and the times
//! of cancellations.

use std::{collections::BTreeMap, hint::black_box, time::Instant};

use criterion::{BatchSize, Criterion};
use toucanquay_control::cell::{Cell, Settings, Write, raise_epoch};
use toucanquay_model::{
    Attempt, Resources, Section, Time,
    exchange::{Command, Report, TaskReport, TaskState},
    job::{Spec, Urgency},
    task, worker,
};

const WORKERS: usize = 200;
const TASKS_PER_WORKER: u32 = 14;
const RUNNING: u32 = 2_800;
const STARTS_PER_SECOND: u32 = 140;

const CAPACITY: Resources = Resources {
    processors_milli: 32_000,
    memory_mb: 125_000,
    accelerators: 0,
};

/// A cell and its workers, simulated in one process.
#[derive(Clone)]
struct Simulation {
    cell: Cell,
    now: Time,
    sequence: u64,
    /// Running attempts by worker, and ended ones that are not acknowledged yet.
    running: Vec<Vec<TaskReport>>,
    segments: BTreeMap<u32, String>,
    bytes_written: usize,
    writes: usize,
    next_job: u32,
}

impl Simulation {
    fn new() -> Self {
        let segments = [(0, raise_epoch(None, 1).expect("valid segment"))];
        let mut cell =
            Cell::takeover(Settings::default(), 1, &segments, Time::ZERO).expect("valid segments");
        cell.extend_ownership(Time::NEVER);
        cell.configure(sections(), 1, 1);
        let mut sim = Self {
            cell,
            now: Time::from_millis(20_000),
            sequence: 0,
            running: vec![Vec::new(); WORKERS],
            segments: segments.into_iter().collect(),
            bytes_written: 0,
            writes: 0,
            next_job: 0,
        };
        // Jobs of 140 tasks each, which together put 14 tasks on each worker.
        for _ in 0..RUNNING / 140 {
            sim.submit(140);
        }
        sim.commit();
        for _ in 0..3 {
            sim.exchange_all();
        }
        assert_eq!(sim.cell.running_attempts(), RUNNING as usize);
        sim
    }

    fn submit(&mut self, tasks: u32) {
        self.next_job += 1;
        let spec = Spec {
            id: format!("reconcile-2026-12-{:06}", self.next_job)
                .as_str()
                .into(),
            team: "claims".to_owned(),
            kind: "reconcile".to_owned(),
            tasks,
            demand: Resources {
                processors_milli: CAPACITY.processors_milli / TASKS_PER_WORKER,
                memory_mb: 8_000,
                accelerators: 0,
            },
            urgency: Urgency::Normal,
            finish_by_unix_ms: None,
            payload: "{\"contracts\":\"2026-12\",\"region\":\"north\"}".to_owned(),
        };
        self.cell.submit(spec, u64::from(self.next_job), self.now);
    }

    fn report(&mut self, worker_index: usize) -> Report {
        Report {
            worker: worker::Id(format!("worker-{worker_index:05}")),
            incarnation: 1,
            sequence: self.sequence,
            epoch: 1,
            revision: 1,
            is_leaving: false,
            is_settling: false,
            capacity: CAPACITY,
            tasks: self.running[worker_index].clone(),
            task_usage: Vec::new(),
            service_usage: Vec::new(),
        }
    }

    fn exchange(&mut self, worker_index: usize) -> Command {
        let report = self.report(worker_index);
        let command = self.cell.exchange(&report, self.now).expect("answer");
        self.apply_command(worker_index, &command);
        command
    }

    /// Updates a worker's attempts as its companion would on this answer.
    fn apply_command(&mut self, worker_index: usize, command: &Command) {
        let tasks = &mut self.running[worker_index];
        tasks.retain(|task_report| {
            let is_task_report = |(task, attempt): &(task::Id, Attempt)| {
                task_report.task == *task && task_report.attempt == *attempt
            };
            !command.acknowledged.iter().any(is_task_report)
        });
        tasks.extend(command.grants.iter().map(|grant| TaskReport {
            task: grant.task.clone(),
            attempt: grant.attempt,
            demand: grant.demand,
            state: TaskState::Running,
        }));
    }

    fn exchange_all(&mut self) {
        self.sequence += 1;
        self.now = self.now.plus_millis(1_000);
        for worker_index in 0..WORKERS {
            self.exchange(worker_index);
        }
    }

    /// Makes all writes that are due durable and applies their effects.
    fn commit(&mut self) {
        self.now = self.now.plus_millis(200);
        loop {
            let writes = self.cell.take_writes(self.now);
            if writes.is_empty() {
                break;
            }
            for write in writes {
                self.apply_write(write);
            }
        }
        black_box(self.cell.take_answers(self.now));
        self.cell.tick(self.now);
    }

    fn apply_write(&mut self, write: Write) {
        self.bytes_written += write.value.len();
        self.writes += 1;
        self.segments.insert(write.segment, write.value);
        self.cell
            .write_succeeded(write.segment, write.version, self.now);
    }

    /// Simulates one second of the cell: 140 tasks finish, 140 start, every worker exchanges once,
    /// and the segments are written `commits` times.
    fn run_second(&mut self, commits: usize) {
        self.submit(STARTS_PER_SECOND);
        self.sequence += 1;
        let mut ends_left = STARTS_PER_SECOND as usize;
        let (first, workers_per_commit) =
            ((self.sequence as usize * 67) % WORKERS, WORKERS / commits);
        for offset in 0..WORKERS {
            let worker_index = (first + offset) % WORKERS;
            if ends_left > 0
                && let Some(task_report) = self.running[worker_index].first_mut()
            {
                task_report.state = TaskState::Finished;
                ends_left -= 1;
            }
            self.now = self.now.plus_millis(4);
            self.exchange(worker_index);
            if offset % workers_per_commit == workers_per_commit - 1 {
                self.commit();
            }
        }
    }

    /// Returns a new owner that takes over the durable segments.
    fn take_over(&self) -> Cell {
        let with_new_epoch = |(number, text): (&u32, &String)| {
            (*number, raise_epoch(Some(text), 2).expect("valid segment"))
        };
        let mut segments: Vec<(u32, String)> = self.segments.iter().map(with_new_epoch).collect();
        let next = u32::try_from(segments.len()).expect("few segments");
        segments.push((next, raise_epoch(None, 2).expect("valid segment")));
        let mut cell =
            Cell::takeover(Settings::default(), 2, &segments, self.now).expect("valid segments");
        cell.extend_ownership(Time::NEVER);
        cell.configure(sections(), 1, 1);
        cell
    }
}

fn sections() -> BTreeMap<String, Section> {
    BTreeMap::from([("claims".to_owned(), Section::default())])
}

fn encoded_size<T: serde::Serialize>(value: &T) -> usize {
    let configuration = bincode::config::standard();
    bincode::serde::encode_to_vec(value, configuration)
        .expect("encodes")
        .len()
}

fn print_message_sizes(sim: &Simulation) {
    let mut sim = sim.clone();
    let report = encoded_size(&sim.report(0));
    sim.sequence += 1;
    let empty = encoded_size(&sim.exchange(0));
    sim.running[0][0].state = TaskState::Finished;
    sim.submit(1);
    sim.commit();
    sim.sequence += 1;
    let grant = sim.exchange(0);
    sim.commit();
    sim.sequence += 1;
    let end = sim.exchange(0);
    assert_eq!((grant.grants.len(), end.acknowledged.len()), (1, 1));
    println!("size: report with {TASKS_PER_WORKER} tasks {report} B, empty command {empty} B");
    println!(
        "size: command with a grant {} B, with an acknowledgement {} B",
        encoded_size(&grant),
        encoded_size(&end)
    );
}

/// Prints the number and size of the writes and the share of a core that is used, as averages over
/// one simulated minute.
fn print_writes(sim: &Simulation, commits: usize) {
    let mut sim = sim.clone();
    (sim.bytes_written, sim.writes) = (0, 0);
    let seconds = 60;
    let started = Instant::now();
    for _ in 0..seconds {
        sim.run_second(commits);
    }
    let percent = started.elapsed().as_secs_f64() / f64::from(seconds) * 100.0;
    let events = (STARTS_PER_SECOND * seconds) as usize;
    println!(
        "writes: at {commits} commits a second, {:.2} writes/s, {} B/s, {} B for each start and \
         completion, {} segments of {} B; {percent:.2} % of a core with the fake workers' share",
        sim.writes as f64 / f64::from(seconds),
        sim.bytes_written / seconds as usize,
        sim.bytes_written / events,
        sim.segments.len(),
        sim.segments.values().map(String::len).sum::<usize>()
    );
}

/// Prints the longest step of a series of cancellations: of `jobs` new jobs of `tasks` tasks each
/// and of all jobs before them.
fn print_cancellations(sim: &Simulation, jobs: u32, tasks: u32) {
    let mut sim = sim.clone();
    let first = sim.next_job;
    for number in 0..jobs {
        sim.submit(tasks);
        // A burst that exceeds the free space in the existing segments and one new one is refused
        // until a write has made the new one durable.
        if number % 100 == 99 || number + 1 == jobs {
            sim.commit();
        }
    }
    assert_eq!(sim.cell.job_statuses().len(), (first + jobs) as usize);
    let mut longest = [0.0_f64; 3];
    let mut time = |step_index: usize, step: &mut dyn FnMut()| {
        let started = Instant::now();
        step();
        longest[step_index] = longest[step_index].max(started.elapsed().as_secs_f64() * 1e3);
    };
    for number in 0..first + jobs {
        let id = format!("reconcile-2026-12-{:06}", number + 1)
            .as_str()
            .into();
        time(0, &mut || sim.cell.cancel(&id, 1, sim.now));
    }
    for _ in 0..40 {
        sim.now = sim.now.plus_millis(200);
        let mut writes = Vec::new();
        time(1, &mut || writes = sim.cell.take_writes(sim.now));
        for write in writes {
            sim.cell
                .write_succeeded(write.segment, write.version, sim.now);
        }
        time(2, &mut || {
            sim.cell.take_answers(sim.now);
            sim.cell.tick(sim.now);
        });
    }
    println!(
        "cancellation of {jobs} jobs of {tasks} tasks and the {first} running ones: longest cancel \
         {:.3} ms, longest drain of writes {:.3} ms, longest answers and tick {:.3} ms",
        longest[0], longest[1], longest[2]
    );
}

fn main() {
    let sim = Simulation::new();
    print_message_sizes(&sim);
    for commits in [1, 2, 5] {
        print_writes(&sim, commits);
    }
    print_cancellations(&sim, 10_000, 1);
    print_cancellations(&sim, 1, 10_000);

    let mut criterion = Criterion::default().configure_from_args().sample_size(20);
    criterion.bench_function("exchange without change", |bench| {
        let mut sim = sim.clone();
        let report = sim.report(0);
        sim.sequence += 1;
        bench.iter(|| {
            let mut report = report.clone();
            sim.sequence += 1;
            report.sequence = sim.sequence;
            black_box(sim.cell.receive_report(&report, sim.now));
            sim.now = sim.now.plus_millis(1_000);
            sim.cell.take_commands(sim.now)
        });
    });
    criterion.bench_function("tick", |bench| {
        let mut sim = sim.clone();
        bench.iter(|| sim.cell.tick(black_box(sim.now)));
    });
    criterion.bench_function("second of the cell, 2 commits", |bench| {
        bench.iter_batched_ref(
            || sim.clone(),
            |sim| sim.run_second(2),
            BatchSize::LargeInput,
        );
    });
    criterion.bench_function("takeover with 200 workers", |bench| {
        let reports: Vec<Report> = (0..WORKERS)
            .map(|worker_index| sim.clone().report(worker_index))
            .collect();
        bench.iter(|| {
            let mut cell = sim.take_over();
            for report in &reports {
                cell.receive_report(report, sim.now);
            }
            assert_eq!(cell.running_attempts(), RUNNING as usize);
            cell
        });
    });
    criterion.final_summary();
}
