//! Tests of perpetual tasks that fit on no host although several hosts together have the room.

#[expect(dead_code, reason = "the fixtures are shared with other tests")]
mod graph;

use std::collections::BTreeMap;

use graph::{accepted_job, at, attempt_status, cores, end, orders, owner, step, update, worker};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use rstest::rstest;
use toucanquay_control::scheduler::{RestoredJob, Scheduler};
use toucanquay_model::{
    graph::{Id, Step, Task},
    session::{Ending, Phase, Start, Update, Worker},
};

/// Hosts of the service, with 16 processors each.
const HOSTS: [&str; 6] = ["h1", "h2", "h3", "h4", "h5", "h6"];

/// Processors of a host.
const PROCESSORS: u32 = 16;

/// Job with a large perpetual task that fits nowhere.
const LARGE_JOB: u64 = 1_000;

/// Interval of the simulation, in milliseconds.
const STEP_MS: u64 = 50;

/// Time that a worker takes to stop an attempt, in milliseconds.
const STOP_MS: u64 = 300;

/// Task with an attempt on a worker, and when that has stopped.
type Attempt = (Task, u64, Option<u64>);

/// A service of a few workers with perpetual tasks.
struct Service {
    scheduler: Scheduler,
    running: Vec<Vec<Attempt>>,
    steps: BTreeMap<Id, Step>,
    /// Share of its work that each task reports.
    done_percent: u8,
    number: u64,
    stops: Vec<Task>,
    starts: Vec<(usize, Task)>,
}

const fn task(job: u64) -> Task {
    graph::task(job, 0, 0)
}

/// Returns a step with one perpetual task.
fn perpetual(processors: u32) -> Step {
    Step {
        demand: cores(processors),
        is_perpetual: true,
        ..step(1)
    }
}

impl Service {
    /// Returns a service with the tasks of these steps on each of its hosts.
    fn new(hosts: &[Vec<Step>]) -> Self {
        let mut service = Self {
            scheduler: owner(1, &[]),
            running: vec![Vec::new(); hosts.len()],
            steps: BTreeMap::new(),
            done_percent: 100,
            number: 0,
            stops: Vec::new(),
            starts: Vec::new(),
        };
        let placed = hosts.iter().enumerate();
        let placed = placed.flat_map(|(index, steps)| steps.iter().map(move |step| (index, step)));
        for (job, (index, step)) in (1..).zip(placed) {
            let accepted = accepted_job(vec![step.clone()]);
            let restored = RestoredJob::default();
            service
                .scheduler
                .restore(Id::new(job), accepted, restored, at(0));
            service.steps.insert(Id::new(job), step.clone());
            service.running[index].push((task(job), 7, None));
        }
        for host in &HOSTS[..hosts.len()] {
            service.scheduler.connect(host);
        }
        service
    }

    /// Returns a service of two workers with three free processors each, and with a task of `small`
    /// on each.
    fn in_pieces(small: &Step) -> Self {
        let steps = vec![perpetual(10), small.clone()];
        Self::new(&[steps.clone(), steps])
    }

    fn accept(&mut self, job: u64, step: Step, millis: u64) {
        let accepted = accepted_job(vec![step.clone()]);
        self.steps.insert(Id::new(job), step);
        self.scheduler.accept(Id::new(job), accepted, at(millis));
    }

    fn report(&mut self, index: usize, millis: u64) -> Update {
        let is_stopped = |attempt: &mut Attempt| attempt.2.is_some_and(|at| millis >= at);
        let stopped: Vec<Attempt> = self.running[index].extract_if(.., is_stopped).collect();
        let ends = stopped
            .iter()
            .map(|(task, attempt, _)| end(self.number, *task, *attempt, Ending::Stopped));
        let mut report = update(HOSTS[index], self.number);
        report.applied = u64::MAX;
        report.worker = Some(Worker {
            labels: [HOSTS[index].to_owned()].into_iter().collect(),
            ..worker()
        });
        report.ends = ends.collect();
        for (task, attempt, stopped_at) in &self.running[index] {
            let phase = match stopped_at {
                Some(_) => Phase::Stopping,
                None => Phase::Running,
            };
            let mut status = attempt_status(*task, *attempt, phase);
            status.done_percent = self.done_percent;
            report.runs.push(status);
        }
        report
    }

    /// Runs the service, and notes the starts and stops.
    fn run(&mut self, from: u64, to: u64) {
        for millis in (from..to).step_by(STEP_MS as usize) {
            self.number += 1;
            for index in 0..self.running.len() {
                let report = self.report(index, millis);
                self.scheduler.update(&report, at(millis));
            }
            for (index, host) in HOSTS[..self.running.len()].iter().enumerate() {
                let ordered = orders(&mut self.scheduler, host, at(millis));
                for stop in ordered.stops {
                    self.stops.push(stop.task);
                    let attempts = self.running[index].iter_mut();
                    for attempt in attempts.filter(|attempt| attempt.0 == stop.task) {
                        attempt.2 = Some(millis + STOP_MS);
                    }
                }
                for Start { task, attempt, .. } in ordered.starts {
                    self.starts.push((index, task));
                    self.running[index].push((task, attempt, None));
                }
                assert!(self.used(index) <= PROCESSORS * 1_000, "{host}");
            }
        }
    }

    /// Returns the processors that are in use on a host, in thousandths.
    fn used(&self, index: usize) -> u32 {
        let jobs = self.running[index].iter().map(|(task, ..)| task.job);
        jobs.map(|job| self.steps[&job].demand.processors_milli)
            .sum()
    }

    fn has_started(&self, job: u64) -> bool {
        self.starts.iter().any(|(_, started)| *started == task(job))
    }
}

#[test]
fn large_perpetual_task_starts_although_its_room_is_in_pieces() {
    let mut service = Service::in_pieces(&perpetual(3));
    service.accept(LARGE_JOB, perpetual(5), 0);

    service.run(0, 8_000);

    assert_eq!(service.stops.len(), 1);
    let moved = service.stops[0].job;
    let started: Vec<Id> = service.starts.iter().map(|(_, task)| task.job).collect();
    assert!(started.len() == 2 && started.contains(&Id::new(LARGE_JOB)));
    assert!(started.contains(&moved), "{started:?}");
}

#[test]
fn other_tasks_take_neither_piece_of_room_during_the_move() {
    let mut service = Service::in_pieces(&perpetual(3));
    service.accept(LARGE_JOB, perpetual(5), 0);
    let mut millis = 0;
    while service.stops.is_empty() && millis < 8_000 {
        service.run(millis, millis + STEP_MS);
        millis += STEP_MS;
    }
    service.accept(2_000, perpetual(2), millis);
    service.accept(2_001, step(1), millis);

    service.run(millis, millis + 2_000);

    assert!(service.has_started(LARGE_JOB), "{:?}", service.starts);
    assert_eq!(service.starts.len(), 2, "{:?}", service.starts);
}

#[rstest]
#[case::none_may_be_away(Step { unavailable_max: Some(0), ..perpetual(3) }, 100, perpetual(5))]
#[case::others_do_not_serve(Step { unavailable_max: Some(1), ..perpetual(3) }, 50, perpetual(5))]
#[case::no_room_elsewhere(perpetual(4), 100, perpetual(5))]
#[case::not_enough_room_then(perpetual(3), 100, perpetual(7))]
#[case::not_allowed(perpetual(3), 100, Step { requires: Some("none".to_owned()), ..perpetual(3) })]
#[case::fits_without(perpetual(3), 100, perpetual(3))]
fn perpetual_task_is_not_moved_in_vain(
    #[case] small: Step,
    #[case] done_percent: u8,
    #[case] large: Step,
) {
    let mut service = Service::in_pieces(&small);
    service.done_percent = done_percent;
    service.accept(LARGE_JOB, large, 0);

    service.run(0, 8_000);

    assert_eq!(service.stops, []);
}

#[test]
fn perpetual_task_is_moved_if_one_of_its_step_may_be_away() {
    let mut service = Service::in_pieces(&Step {
        unavailable_max: Some(1),
        ..perpetual(3)
    });
    service.accept(LARGE_JOB, perpetual(5), 0);

    service.run(0, 8_000);

    assert!(service.has_started(LARGE_JOB));
}

/// Guards against a task that waits for ever because others fill the only host that it may use.
#[rstest]
#[case::label(vec![Step { requires: Some("h1".to_owned()), ..perpetual(4) }])]
#[case::worker_limit(vec![Step { tasks: 2, per_worker_max: Some(1), ..perpetual(3) }])]
fn task_of_another_step_makes_way_on_the_only_host(#[case] steps: Vec<Step>) {
    let mut service = Service::new(&[vec![perpetual(12), perpetual(4)], vec![perpetual(8)]]);
    let tasks = steps[0].tasks as usize;
    service.accept(LARGE_JOB, steps[0].clone(), 0);

    service.run(0, 8_000);

    let starts = service.starts.iter();
    let started = starts.filter(|(_, task)| task.job == Id::new(LARGE_JOB));
    assert_eq!(started.count(), tasks);
    assert_eq!(service.stops, [task(2)]);
}

#[test]
fn perpetual_task_is_not_moved_for_a_short_wait() {
    let mut service = Service::in_pieces(&perpetual(3));
    service.accept(LARGE_JOB, perpetual(5), 0);

    service.run(0, 3_500);

    assert_eq!(service.stops, []);
}

/// Guards against moves that help nobody, and against tasks that are stopped and don't start again.
#[test]
fn each_move_lets_a_larger_task_start_and_the_moved_one_too() {
    let mut moves = 0;
    for seed in 0..60 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut host = || -> Vec<Step> {
            let tasks = rng.random_range(3..5);
            (0..tasks)
                .map(|_| perpetual(rng.random_range(1..5)))
                .collect()
        };
        let hosts: Vec<Vec<Step>> = HOSTS.iter().map(|_| host()).collect();
        let mut service = Service::new(&hosts);
        for job in LARGE_JOB..LARGE_JOB + 8 {
            service.accept(job, perpetual(rng.random_range(4..9)), 0);
        }
        service.run(0, STEP_MS);
        let started_at_once = service.starts.len();

        service.run(STEP_MS, 40_000);

        println!(
            "seed {seed}: {started_at_once} {:?} {:?}",
            service.stops, service.starts
        );
        moves += service.stops.len();
        let later = &service.starts[started_at_once..];
        assert_eq!(later.len(), 2 * service.stops.len());
        for stopped in &service.stops {
            assert!(later.iter().any(|(_, started)| started == stopped));
        }
    }
    assert!(moves > 0, "tasks are moved");
}
