//! Tests of tasks that need more room than others on a service without free room.

#[expect(dead_code, reason = "the fixtures are shared with other tests")]
mod graph;

use std::collections::VecDeque;

use graph::{
    WORKER_INCARNATION, accepted_job, at, attempt_status, commit_changes, cores, crashed, end,
    orders, owner, step, update,
};
use rstest::rstest;
use toucanquay_control::scheduler::{Event, Scheduler};
use toucanquay_model::{
    graph::{Id, Step},
    session::{Ending, Phase, Start},
};

/// Hosts of the service, with 16 processors each.
const HOSTS: [&str; 4] = ["h1", "h2", "h3", "h4"];

/// Job with small tasks, more than end in a test.
const SMALL_JOB: u64 = 1;

/// Job with a large perpetual task.
const LARGE_JOB: u64 = 2;

/// Interval at which a small task ends, in milliseconds.
const INTERVAL_MS: u64 = 40;

/// A full service, on which one small task ends at a time, each host in turn.
struct Service {
    scheduler: Scheduler,
    running: [VecDeque<Start>; HOSTS.len()],
    updates: u64,
    now_ms: u64,
}

impl Service {
    /// Returns a service full of tasks with two processors, and with many more that wait.
    fn full() -> Self {
        let mut scheduler = owner(1, &HOSTS);
        scheduler.accept(Id::new(SMALL_JOB), accepted_job(vec![step(400)]), at(0));
        let mut service = Self {
            scheduler,
            running: Default::default(),
            updates: 1,
            now_ms: 0,
        };
        service.take_starts();
        service
    }

    /// Adds the starts that are ordered to the running tasks. Returns the indices of the hosts on
    /// which the large task starts.
    fn take_starts(&mut self) -> Vec<usize> {
        let now = at(self.now_ms);
        let mut large = Vec::new();
        for (index, host) in HOSTS.iter().enumerate() {
            let starts = orders(&mut self.scheduler, host, now).starts;
            for start in starts {
                if start.task.job == Id::new(LARGE_JOB) {
                    large.push(index);
                }
                self.running[index].push_back(start);
            }
        }
        large
    }

    /// Returns the index of the host that is kept.
    fn kept_host(&mut self) -> usize {
        let events = self.scheduler.take_events();
        let kept = events.into_iter().find_map(|event| match event {
            Event::Kept { host, .. } => Some(host),
            _ => None,
        });
        let kept = kept.expect("a host is kept");
        let mut hosts = HOSTS.iter();
        hosts.position(|host| *host == kept).expect("a known host")
    }

    /// Lets small tasks start on another host, whose worker crashes under them.
    fn crash_another_host(&mut self) {
        let now = at(self.now_ms);
        self.scheduler.connect("lost");
        self.scheduler.update(&update("lost", 1), now);
        let starts = orders(&mut self.scheduler, "lost", now).starts;
        let suspects: Vec<&Start> = starts.iter().collect();
        let crash = crashed("lost", 2, WORKER_INCARNATION, &suspects);
        self.scheduler.update(&crash, now);
        self.now_ms += 500;
        commit_changes(&mut self.scheduler, 20, at(self.now_ms));
    }

    /// Lets the oldest small task of a host end.
    fn end_oldest(&mut self, index: usize) {
        let is_small = |start: &Start| start.task.job == Id::new(SMALL_JOB);
        let running = &mut self.running[index];
        let Some(oldest) = running.iter().position(is_small) else {
            return;
        };
        let ended = running.remove(oldest).expect("a running task");
        self.updates += 1;
        let mut report = update(HOSTS[index], self.updates);
        report.applied = u64::MAX;
        let status = |start: &Start| attempt_status(start.task, start.attempt, Phase::Running);
        report.runs = running.iter().map(status).collect();
        report.ends = vec![end(self.updates, ended.task, ended.attempt, Ending::Done)];
        self.scheduler.update(&report, at(self.now_ms));
    }

    /// Ends one small task after another. Returns the host and the time of the large task's start,
    /// if it starts.
    fn run_until_large_start(&mut self, ends: usize) -> Option<(usize, u64)> {
        for number in 0..ends {
            self.now_ms += INTERVAL_MS;
            self.end_oldest(number % HOSTS.len());
            if let Some(host) = self.take_starts().first() {
                return Some((*host, self.now_ms));
            }
        }
        None
    }
}

/// Returns a step with one perpetual task.
fn perpetual(processors: u32) -> Step {
    Step {
        demand: cores(processors),
        is_perpetual: true,
        ..step(1)
    }
}

#[rstest]
#[case::twice_as_large(4)]
#[case::half_a_worker(8)]
fn large_perpetual_task_is_not_passed_over_on_a_full_service(#[case] processors: u32) {
    let mut service = Service::full();
    let job = accepted_job(vec![perpetual(processors)]);
    service.scheduler.accept(Id::new(LARGE_JOB), job, at(1));

    let started = service.run_until_large_start(100);

    let (_, at_ms) = started.expect("the large task starts");
    assert!(at_ms <= 3_000, "it started after {at_ms} ms");
}

#[test]
fn host_takes_other_tasks_again_once_the_perpetual_task_has_started() {
    let mut service = Service::full();
    let job = accepted_job(vec![perpetual(4)]);
    service.scheduler.accept(Id::new(LARGE_JOB), job, at(1));
    let (host, _) = service.run_until_large_start(100).expect("a start");
    service.now_ms += INTERVAL_MS;
    let running_before = service.running[host].len();

    service.end_oldest(host);
    service.take_starts();

    assert_eq!(service.running[host].len(), running_before);
}

#[test]
fn other_hosts_take_tasks_while_one_is_kept() {
    let mut service = Service::full();
    let job = accepted_job(vec![perpetual(16)]);
    service.scheduler.accept(Id::new(LARGE_JOB), job, at(1));

    service.run_until_large_start(12);

    let full = service.running.iter().filter(|running| running.len() == 8);
    assert_eq!(full.count(), HOSTS.len() - 1);
}

#[test]
fn host_on_which_a_perpetual_task_never_fits_is_not_kept_for_it() {
    let mut service = Service::full();
    let job = accepted_job(vec![perpetual(17)]);
    service.scheduler.accept(Id::new(LARGE_JOB), job, at(1));

    service.run_until_large_start(12);

    assert!(service.running.iter().all(|running| running.len() == 8));
}

#[test]
fn host_of_a_cancelled_perpetual_job_takes_other_tasks_again() {
    let mut service = Service::full();
    let job = accepted_job(vec![perpetual(16)]);
    service.scheduler.accept(Id::new(LARGE_JOB), job, at(1));
    service.run_until_large_start(12);

    service
        .scheduler
        .cancel(Id::new(LARGE_JOB), at(service.now_ms));
    service.now_ms += 1_000;
    service.take_starts();

    assert!(service.running.iter().all(|running| running.len() == 8));
}

#[rstest]
#[case::second_task_of_a_step(vec![Step { tasks: 2, ..perpetual(16) }], 2)]
#[case::third_task_of_a_step(vec![Step { tasks: 3, ..perpetual(8) }], 3)]
#[case::one_task_for_each_worker(vec![Step { tasks: 2, per_worker_max: Some(1), ..perpetual(8) }], 2)]
fn each_large_perpetual_task_starts_on_a_full_service(
    #[case] steps: Vec<Step>,
    #[case] tasks: usize,
) {
    let mut service = Service::full();
    let job = accepted_job(steps);
    service.scheduler.accept(Id::new(LARGE_JOB), job, at(1));

    for _ in 0..tasks {
        service.run_until_large_start(100);
    }

    let is_large = |start: &&Start| start.task.job == Id::new(LARGE_JOB);
    let running = service.running.iter().flatten();
    assert_eq!(running.filter(is_large).count(), tasks);
}

#[test]
fn host_that_another_perpetual_task_has_filled_is_not_kept_any_more() {
    let mut service = Service::full();
    let large = accepted_job(vec![perpetual(16)]);
    service.scheduler.accept(Id::new(LARGE_JOB), large, at(1));
    service.run_until_large_start(4);
    let small = accepted_job(vec![perpetual(2)]);
    service
        .scheduler
        .accept(Id::new(3), small, at(service.now_ms));

    let started = service.run_until_large_start(100);

    assert!(started.is_some(), "the large task starts on another host");
}

/// Guards against suspects that take the room of a host that is kept for a perpetual task.
#[test]
fn host_that_is_kept_for_a_perpetual_task_starts_no_suspect_batch_task() {
    let mut service = Service::full();
    let job = accepted_job(vec![perpetual(8)]);
    service.scheduler.accept(Id::new(LARGE_JOB), job, at(1));
    service.run_until_large_start(1);
    let kept = service.kept_host();
    service.crash_another_host();

    let mut small_starts = 0;
    let mut large_starts = Vec::new();
    for number in 0..100 {
        service.now_ms += INTERVAL_MS;
        service.end_oldest(number % HOSTS.len());
        let running_before = service.running[kept].len();
        large_starts = service.take_starts();
        if !large_starts.is_empty() {
            break;
        }
        small_starts += service.running[kept].len() - running_before;
    }

    assert_eq!((small_starts, large_starts), (0, vec![kept]));
}
