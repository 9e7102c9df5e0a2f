//! Cost of a cell owner at the design target: 200 workers, 2,800 running tasks, 140 starts a
//! second, and sizes of its messages and writes.

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

/// A cell with its workers, as one process that exchanges with all of them.
#[derive(Clone)]
struct World {
    cell: Cell,
    now: Time,
    sequence: u64,
    /// Running attempts by worker, and ended ones that are not acknowledged.
    running: Vec<Vec<TaskReport>>,
    segments: BTreeMap<u32, String>,
    bytes_written: usize,
    writes: usize,
    next_job: u32,
}

impl World {
    fn new() -> Self {
        let segments = [(0, raise_epoch(None, 1).expect("stamp"))];
        let mut cell =
            Cell::takeover(Settings::default(), 1, &segments, Time::ZERO).expect("valid");
        cell.extend_ownership(Time::NEVER);
        cell.configure(sections(), 1, 1);
        let mut world = Self {
            cell,
            now: Time::from_millis(20_000),
            sequence: 0,
            running: vec![Vec::new(); WORKERS],
            segments: segments.into_iter().collect(),
            bytes_written: 0,
            writes: 0,
            next_job: 0,
        };
        // Jobs of 140 tasks that leave 14 tasks on each worker.
        for _ in 0..RUNNING / 140 {
            world.submit(140);
        }
        world.commit();
        for _ in 0..3 {
            world.exchange_all();
        }
        assert_eq!(world.cell.running_attempts(), RUNNING as usize);
        world
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

    fn report(&mut self, place: usize) -> Report {
        Report {
            worker: worker::Id(format!("worker-{place:05}")),
            incarnation: 1,
            sequence: self.sequence,
            epoch: 1,
            revision: 1,
            is_leaving: false,
            is_settling: false,
            capacity: CAPACITY,
            tasks: self.running[place].clone(),
            task_usage: Vec::new(),
            service_usage: Vec::new(),
        }
    }

    fn exchange(&mut self, place: usize) -> Command {
        let report = self.report(place);
        let command = self.cell.exchange(&report, self.now).expect("answer");
        self.obey(place, &command);
        command
    }

    fn obey(&mut self, place: usize, command: &Command) {
        let tasks = &mut self.running[place];
        tasks.retain(|line| {
            let is_line = |(task, attempt): &(task::Id, Attempt)| {
                line.task == *task && line.attempt == *attempt
            };
            !command.acknowledged.iter().any(is_line)
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
        for place in 0..WORKERS {
            self.exchange(place);
        }
    }

    fn commit(&mut self) {
        self.now = self.now.plus_millis(200);
        loop {
            let writes = self.cell.take_writes(self.now);
            if writes.is_empty() {
                break;
            }
            for write in writes {
                self.store(write);
            }
        }
        black_box(self.cell.take_answers(self.now));
        self.cell.tick(self.now);
    }

    fn store(&mut self, write: Write) {
        self.bytes_written += write.value.len();
        self.writes += 1;
        self.segments.insert(write.segment, write.value);
        self.cell
            .write_succeeded(write.segment, write.version, self.now);
    }

    /// One second of the cell: 140 tasks finish, 140 start, every worker exchanges once, and the
    /// records are written `commits` times.
    fn second(&mut self, commits: usize) {
        self.submit(STARTS_PER_SECOND);
        self.sequence += 1;
        let mut left = STARTS_PER_SECOND as usize;
        let (first, share) = ((self.sequence as usize * 67) % WORKERS, WORKERS / commits);
        for step in 0..WORKERS {
            let place = (first + step) % WORKERS;
            if left > 0
                && let Some(line) = self.running[place].first_mut()
            {
                line.state = TaskState::Finished;
                left -= 1;
            }
            self.now = self.now.plus_millis(4);
            self.exchange(place);
            if step % share == share - 1 {
                self.commit();
            }
        }
    }

    fn take_over(&self) -> Cell {
        let stamped =
            |(number, text): (&u32, &String)| (*number, raise_epoch(Some(text), 2).expect("stamp"));
        let mut segments: Vec<(u32, String)> = self.segments.iter().map(stamped).collect();
        let next = u32::try_from(segments.len()).expect("few segments");
        segments.push((next, raise_epoch(None, 2).expect("stamp")));
        let mut cell = Cell::takeover(Settings::default(), 2, &segments, self.now).expect("valid");
        cell.extend_ownership(Time::NEVER);
        cell.configure(sections(), 1, 1);
        cell
    }
}

fn sections() -> BTreeMap<String, Section> {
    BTreeMap::from([("claims".to_owned(), Section::default())])
}

fn encoded<T: serde::Serialize>(value: &T) -> usize {
    let configuration = bincode::config::standard();
    bincode::serde::encode_to_vec(value, configuration)
        .expect("encodes")
        .len()
}

fn print_sizes(world: &World) {
    let mut world = world.clone();
    let report = encoded(&world.report(0));
    world.sequence += 1;
    let empty = encoded(&world.exchange(0));
    world.running[0][0].state = TaskState::Finished;
    world.submit(1);
    world.commit();
    world.sequence += 1;
    let grant = world.exchange(0);
    world.commit();
    world.sequence += 1;
    let end = world.exchange(0);
    assert_eq!((grant.grants.len(), end.acknowledged.len()), (1, 1));
    println!("size: report with {TASKS_PER_WORKER} tasks {report} B, empty command {empty} B");
    println!(
        "size: command with a grant {} B, with an acknowledgement {} B",
        encoded(&grant),
        encoded(&end)
    );
}

fn print_writes(world: &World, commits: usize) {
    let mut world = world.clone();
    (world.bytes_written, world.writes) = (0, 0);
    let seconds = 60;
    let started = Instant::now();
    for _ in 0..seconds {
        world.second(commits);
    }
    let share = started.elapsed().as_secs_f64() / f64::from(seconds) * 100.0;
    let events = (STARTS_PER_SECOND * seconds) as usize;
    println!(
        "writes: at {commits} commits a second, {:.2} writes/s, {} B/s, {} B for each start and \
         completion, {} segments of {} B; {share:.2} % of a core with the fake workers' share",
        world.writes as f64 / f64::from(seconds),
        world.bytes_written / seconds as usize,
        world.bytes_written / events,
        world.segments.len(),
        world.segments.values().map(String::len).sum::<usize>()
    );
}

/// Prints the longest step of a wave that cancels 10,000 jobs, or 10,000 tasks of one job.
fn print_cancellations(world: &World, jobs: u32, tasks: u32) {
    let mut world = world.clone();
    let first = world.next_job;
    for number in 0..jobs {
        world.submit(tasks);
        // A burst beyond the room of two segments is refused until a write has made room.
        if number % 100 == 99 || number + 1 == jobs {
            world.commit();
        }
    }
    assert_eq!(world.cell.job_statuses().len(), (first + jobs) as usize);
    let mut longest = [0.0_f64; 3];
    let mut time = |place: usize, step: &mut dyn FnMut()| {
        let started = Instant::now();
        step();
        longest[place] = longest[place].max(started.elapsed().as_secs_f64() * 1e3);
    };
    for number in 0..first + jobs {
        let id = format!("reconcile-2026-12-{:06}", number + 1)
            .as_str()
            .into();
        time(0, &mut || world.cell.cancel(&id, 1, world.now));
    }
    for _ in 0..40 {
        world.now = world.now.plus_millis(200);
        let mut writes = Vec::new();
        time(1, &mut || writes = world.cell.take_writes(world.now));
        for write in writes {
            world
                .cell
                .write_succeeded(write.segment, write.version, world.now);
        }
        time(2, &mut || {
            world.cell.take_answers(world.now);
            world.cell.tick(world.now);
        });
    }
    println!(
        "cancellation of {jobs} jobs of {tasks} tasks and the {first} running ones: longest cancel \
         {:.3} ms, longest drain of writes {:.3} ms, longest answers and tick {:.3} ms",
        longest[0], longest[1], longest[2]
    );
}

fn main() {
    let world = World::new();
    print_sizes(&world);
    for commits in [1, 2, 5] {
        print_writes(&world, commits);
    }
    print_cancellations(&world, 10_000, 1);
    print_cancellations(&world, 1, 10_000);

    let mut criterion = Criterion::default().configure_from_args().sample_size(20);
    criterion.bench_function("exchange without change", |bench| {
        let mut world = world.clone();
        let report = world.report(0);
        world.sequence += 1;
        bench.iter(|| {
            let mut report = report.clone();
            world.sequence += 1;
            report.sequence = world.sequence;
            black_box(world.cell.receive_report(&report, world.now));
            world.now = world.now.plus_millis(1_000);
            world.cell.take_commands(world.now)
        });
    });
    criterion.bench_function("tick", |bench| {
        let mut world = world.clone();
        bench.iter(|| world.cell.tick(black_box(world.now)));
    });
    criterion.bench_function("second of the cell, 2 commits", |bench| {
        bench.iter_batched_ref(
            || world.clone(),
            |world| world.second(2),
            BatchSize::LargeInput,
        );
    });
    criterion.bench_function("takeover with 200 workers", |bench| {
        let reports: Vec<Report> = (0..WORKERS)
            .map(|place| world.clone().report(place))
            .collect();
        bench.iter(|| {
            let mut cell = world.take_over();
            for report in &reports {
                cell.receive_report(report, world.now);
            }
            assert_eq!(cell.running_attempts(), RUNNING as usize);
            cell
        });
    });
    criterion.final_summary();
}
