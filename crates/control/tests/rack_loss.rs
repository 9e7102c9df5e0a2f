//! Tests of perpetual tasks whose workers crash together just after they have started them.

#[expect(dead_code, reason = "the fixtures are shared with other tests")]
mod graph;

use std::collections::{BTreeMap, BTreeSet};

use graph::{
    WORKER_INCARNATION, accepted_job, at, cores, crashed, end, fresh, orders, owner, step, update,
    worker,
};
use rstest::rstest;
use toucanquay_control::scheduler::Scheduler;
use toucanquay_model::{
    Resources,
    graph::{Id, Step, Task},
    session::{AttemptStatus, Ending, Orders, Start, Update, Worker},
};

/// Label of the workers that crash.
const RACK: &str = "rack-lost";

/// Label of the other workers, which run the steady flow.
const OTHER_RACK: &str = "rack-other";

/// Time from a start until a list shows that the worker has outlived it, in milliseconds: the time
/// for which it is at risk, and half the interval of lists of 125 ms.
const SURVIVAL_MS: u64 = 312;

/// Run time of the tasks of the steady flow, in milliseconds.
const FLOW_TASK_MS: u64 = 500;

/// Interval between two jobs of the steady flow, in milliseconds.
const FLOW_INTERVAL_MS: u64 = 10;

/// Interval of the simulation, in milliseconds.
const STEP_MS: u64 = 10;

/// An attempt on a simulated worker.
#[derive(Debug)]
struct Attempt {
    start: Start,
    started_ms: u64,
    is_perpetual: bool,
}

/// A simulated host, whose companion reports each change at once.
#[derive(Debug, Default)]
struct Host {
    name: String,
    number: u64,
    applied: u64,
    last_end: u64,
    labels: Vec<String>,
    attempts: Vec<Attempt>,
    /// Its worker begins none of the attempts that are ordered from now on.
    is_hung: bool,
}

impl Host {
    fn report(&mut self, millis: u64) -> Update {
        self.number += 1;
        let is_over = |attempt: &mut Attempt| {
            !attempt.is_perpetual && millis >= attempt.started_ms + FLOW_TASK_MS
        };
        let count = if self.is_hung { 0 } else { self.attempts.len() };
        let over: Vec<Attempt> = self.attempts.extract_if(..count, is_over).collect();
        let ends = over.iter().map(|attempt| {
            self.last_end += 1;
            let start = &attempt.start;
            end(self.last_end, start.task, start.attempt, Ending::Done)
        });
        let ends = ends.collect();
        let status = |attempt: &Attempt| AttemptStatus {
            has_survived_start: !self.is_hung && millis >= attempt.started_ms + SURVIVAL_MS,
            ..fresh(&attempt.start)
        };
        Update {
            applied: self.applied,
            worker: Some(Worker {
                labels: self.labels.iter().cloned().collect(),
                ..worker()
            }),
            runs: self.attempts.iter().map(status).collect(),
            ends,
            ..update(&self.name, self.number)
        }
    }

    fn carry_out(&mut self, orders: Orders, perpetual: &BTreeSet<Id>, millis: u64) {
        self.applied = self.applied.max(orders.number);
        self.attempts
            .extend(orders.starts.into_iter().map(|start| Attempt {
                is_perpetual: perpetual.contains(&start.task.job),
                start,
                started_ms: millis,
            }));
    }
}

/// How the perpetual tasks are divided into jobs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Jobs {
    One,
    OneForEachTask,
}

/// Parameters of a simulation.
#[derive(Debug, Clone, Copy)]
struct Loss {
    hosts: usize,
    lost: usize,
    tasks: u32,
    jobs: Jobs,
    /// Time from a commit to its answer, in milliseconds.
    commit_ms: u64,
    /// Whether one of the other workers begins none of its attempts from shortly before the crash on.
    is_one_hung: bool,
}

impl Loss {
    /// Returns when each of the perpetual tasks runs again, in milliseconds after the crash is
    /// reported.
    fn restart_times(&self) -> BTreeMap<Task, u64> {
        const CRASH_MS: u64 = 2_100;
        const END_MS: u64 = 8_200;
        let mut hosts: Vec<Host> = (0..self.hosts).map(|index| self.host(index)).collect();
        let names: Vec<String> = hosts.iter().map(|host| host.name.clone()).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        let mut scheduler = owner(1, &names);
        let mut perpetual = BTreeSet::new();
        let mut restarted = BTreeMap::new();
        let mut next_job = 1_000;
        let mut commit_due_ms = None;
        for millis in (STEP_MS..END_MS).step_by(STEP_MS as usize) {
            if millis % FLOW_INTERVAL_MS == 0 {
                next_job += 1;
                scheduler.accept(
                    Id::new(next_job),
                    accepted_job(vec![flow_step()]),
                    at(millis),
                );
            }
            if millis == CRASH_MS - 100 {
                self.submit(&mut scheduler, &mut perpetual, millis);
            }
            if millis == CRASH_MS - 400 && self.is_one_hung {
                hosts[self.lost].is_hung = true;
            }
            for (index, host) in hosts.iter_mut().enumerate() {
                let is_lost = index < self.lost && millis >= CRASH_MS;
                if millis == CRASH_MS && is_lost {
                    let suspects = std::mem::take(&mut host.attempts);
                    let is_fresh = |attempt: &&Attempt| millis < attempt.started_ms + SURVIVAL_MS;
                    let suspects: Vec<&Start> = suspects
                        .iter()
                        .filter(is_fresh)
                        .map(|attempt| &attempt.start)
                        .collect();
                    let number = host.number + 1;
                    let report = crashed(&host.name, number, WORKER_INCARNATION, &suspects);
                    scheduler.update(&report, at(millis));
                }
                if !is_lost {
                    let report = host.report(millis);
                    scheduler.update(&report, at(millis));
                }
            }
            if commit_due_ms.is_some_and(|due_ms| millis >= due_ms) {
                commit_due_ms = None;
                scheduler.commit_succeeded(millis);
            }
            if commit_due_ms.is_none() && scheduler.next_commit(at(millis)).is_some() {
                commit_due_ms = Some(millis + self.commit_ms);
            }
            for (index, host) in hosts.iter_mut().enumerate() {
                if index < self.lost && millis >= CRASH_MS {
                    continue;
                }
                let ordered = orders(&mut scheduler, &host.name, at(millis));
                for start in &ordered.starts {
                    if perpetual.contains(&start.task.job) && millis >= CRASH_MS {
                        restarted.entry(start.task).or_insert(millis - CRASH_MS);
                    }
                }
                host.carry_out(ordered, &perpetual, millis);
            }
        }
        restarted
    }

    fn host(&self, index: usize) -> Host {
        let rack = if index < self.lost { RACK } else { OTHER_RACK };
        Host {
            name: format!("h{index:02}"),
            number: 1,
            labels: vec![rack.to_owned()],
            ..Host::default()
        }
    }

    fn submit(&self, scheduler: &mut Scheduler, perpetual: &mut BTreeSet<Id>, millis: u64) {
        let step = |tasks| Step {
            demand: Resources {
                processors_milli: 1_000,
                ..cores(1)
            },
            is_perpetual: true,
            rack: Some(RACK.to_owned()),
            ..step(tasks)
        };
        let (jobs, step) = match self.jobs {
            Jobs::One => (1, step(self.tasks)),
            Jobs::OneForEachTask => (u64::from(self.tasks), step(1)),
        };
        for job in 1..=jobs {
            perpetual.insert(Id::new(job));
            scheduler.accept(Id::new(job), accepted_job(vec![step.clone()]), at(millis));
        }
    }
}

/// Returns the step of the jobs of the steady flow.
fn flow_step() -> Step {
    Step {
        demand: cores(1),
        estimate_ms: FLOW_TASK_MS,
        uses_idle: true,
        requires: Some(OTHER_RACK.to_owned()),
        ..step(1)
    }
}

/// Guards against perpetual tasks that wait as suspects for longer than the target allows.
#[rstest]
fn tasks_of_a_lost_rack_run_again_within_six_seconds(
    #[values((11, 3, 30), (70, 8, 100))] size: (usize, usize, u32),
    #[values(Jobs::One, Jobs::OneForEachTask)] jobs: Jobs,
    #[values(10, 300)] commit_ms: u64,
    #[values(false, true)] is_one_hung: bool,
) {
    let (hosts, lost, tasks) = size;
    let loss = Loss {
        hosts,
        lost,
        tasks,
        jobs,
        commit_ms,
        is_one_hung,
    };

    let times = loss.restart_times();

    let last = times.values().max();
    assert!(
        times.len() == tasks as usize && last < Some(&6_000),
        "{times:?}"
    );
}

/// Guards against a suspicion whose record waits behind ended jobs once the store has rejected it.
#[test]
fn suspicion_is_recorded_first_although_a_commit_was_rejected() {
    let mut scheduler = owner(1, &["h1", "h2"]);
    for job in 1..=41 {
        scheduler.accept(Id::new(job), accepted_job(vec![flow_step()]), at(0));
    }
    let labelled = Update {
        worker: Some(Worker {
            labels: [OTHER_RACK.to_owned()].into_iter().collect(),
            ..worker()
        }),
        ..update("h1", 2)
    };
    scheduler.update(&labelled, at(1));
    let starts = orders(&mut scheduler, "h1", at(2)).starts;
    scheduler.update(
        &crashed("h1", 3, WORKER_INCARNATION, &[&starts[5]]),
        at(100),
    );
    let suspect = starts[5].task.job;
    for job in (1..=41).map(Id::new).filter(|job| *job != suspect) {
        scheduler.cancel(job, at(101));
    }
    let first_recorded = |scheduler: &mut Scheduler, millis| {
        let commit = scheduler.next_commit(at(millis)).expect("changes");
        commit.records[0].0
    };
    let before = first_recorded(&mut scheduler, 200);
    scheduler.commit_rejected(&[]);

    let after = first_recorded(&mut scheduler, 300);

    assert_eq!((before, after), (suspect, suspect));
}
