//! Tests of perpetual tasks that share their hosts with probes of many suspects.

#[expect(dead_code, reason = "the fixtures are shared with other tests")]
mod graph;

use std::collections::{BTreeMap, BTreeSet};

use graph::{
    WORKER_INCARNATION, accepted_job, at, cores, crashed, end, fresh, orders, owner, step, update,
    worker,
};
use rstest::rstest;
use smallvec::{SmallVec, smallvec};
use toucanquay_control::scheduler::{RestoredJob, Scheduler, Settings};
use toucanquay_model::{
    Resources,
    graph::{Id, Place, Progress, Step, TaskProgress},
    session::{AttemptStatus, Ending, Start, Update, Worker},
};

/// Time without a run that counts as a loss, in milliseconds.
const LIMIT_MS: u64 = 3_000;

/// Time from a start until a list shows that the worker has outlived it, in milliseconds: the time
/// for which it is at risk, and half the interval of lists of 125 ms.
const SURVIVAL_MS: u64 = 312;

/// Run time of a batch task, in milliseconds.
const BATCH_TASK_MS: u64 = 700;

/// When a simulation ends at the latest, in milliseconds.
const END_MS: u64 = 120_000;

/// Interval of the simulation, in milliseconds.
const STEP_MS: u64 = 10;

/// Host whose worker crashes under all suspects.
const LOST: &str = "lost";

/// First job of innocent perpetual tasks.
const FIRST_INNOCENT: u64 = 10_000;

/// Interval at which innocent perpetual tasks arrive, in milliseconds.
const ARRIVAL_MS: u64 = 230;

/// An attempt on a simulated worker.
#[derive(Debug)]
struct Attempt {
    start: Start,
    started_ms: u64,
}

/// A simulated host, whose companion reports each change at once.
#[derive(Debug, Default)]
struct Host {
    name: String,
    number: u64,
    applied: u64,
    last_end: u64,
    is_full: bool,
    attempts: Vec<Attempt>,
}

/// Parameters of a simulation: a worker crashes under many suspects, and all room is on a few other
/// hosts.
#[derive(Debug, Clone, Copy)]
struct Crowd {
    hosts: usize,
    /// Number of the hosts that have no room.
    full_hosts: usize,
    suspects: u64,
    is_perpetual: bool,
    /// Time from a start to its proof, in milliseconds.
    survival_ms: u64,
    /// Time from a commit to its answer, in milliseconds.
    commit_ms: u64,
    /// A new owner takes over shortly after the crash.
    has_new_owner: bool,
    /// Number of innocent perpetual tasks that arrive.
    innocents: u64,
}

/// Longest waits in milliseconds.
#[derive(Debug, Default)]
struct Waits {
    innocent_ms: u64,
    suspect_ms: u64,
    innocents: u64,
    suspects: u64,
}

impl Crowd {
    const fn new(hosts: usize, full_hosts: usize, suspects: u64) -> Self {
        Self {
            hosts,
            full_hosts,
            suspects,
            is_perpetual: false,
            survival_ms: SURVIVAL_MS,
            commit_ms: 10,
            has_new_owner: false,
            innocents: 0,
        }
    }

    fn suspect_step(&self) -> Step {
        Step {
            demand: Resources {
                processors_milli: 10,
                memory_mb: 10,
                accelerators: 0,
            },
            is_perpetual: self.is_perpetual,
            ..step(1)
        }
    }

    /// Returns the owner after the crash, and the suspects.
    fn owner_after_crash(&self) -> (Scheduler, Vec<Start>) {
        let mut scheduler = owner(1, &[LOST]);
        for job in 1..=self.suspects {
            scheduler.accept(Id::new(job), accepted_job(vec![self.suspect_step()]), at(0));
        }
        let starts = orders(&mut scheduler, LOST, at(1)).starts;
        assert_eq!(starts.len() as u64, self.suspects);
        let suspects: Vec<&Start> = starts.iter().collect();
        scheduler.update(&crashed(LOST, 2, WORKER_INCARNATION, &suspects), at(50));
        (scheduler, starts)
    }

    /// Returns the owner that takes over after the crash, which has recorded the suspicions.
    fn next_owner(&self, starts: &[Start], names: &[String]) -> Scheduler {
        let mut scheduler = Scheduler::new(Settings::default(), 2, names.to_vec(), at(60));
        scheduler.extend_ownership(at(1_000_000));
        scheduler.set_wall_clock(5_000_000, at(60));
        for start in starts {
            let tally = TaskProgress {
                place: Place {
                    occurrence: 0,
                    step: 0,
                    index: 0,
                },
                failed: SmallVec::new(),
                crashed: smallvec![start.attempt],
                suspected: SmallVec::new(),
                checkpoint: None,
            };
            let progress = Progress {
                tallies: vec![tally],
                ..Progress::default()
            };
            let job = accepted_job(vec![self.suspect_step()]);
            let restored = RestoredJob {
                progress,
                revision: 5,
            };
            scheduler.restore(start.task.job, job, restored, at(60));
        }
        scheduler
    }

    fn play(&self) -> Waits {
        let mut hosts: Vec<Host> = (0..self.hosts)
            .map(|index| Host {
                name: format!("h{index:02}"),
                is_full: index < self.full_hosts,
                ..Host::default()
            })
            .collect();
        let (mut scheduler, starts) = self.owner_after_crash();
        if self.has_new_owner {
            let names: Vec<String> = hosts.iter().map(|host| host.name.clone()).collect();
            scheduler = self.next_owner(&starts, &names);
        }
        for host in &hosts {
            scheduler.connect(&host.name);
        }
        let suspects: BTreeSet<Id> = starts.iter().map(|start| start.task.job).collect();
        let mut waits = Waits::default();
        let mut proved: BTreeSet<Id> = BTreeSet::new();
        let mut accepted_ms: BTreeMap<Id, u64> = BTreeMap::new();
        let mut restarted: BTreeSet<Id> = BTreeSet::new();
        let mut commit_due_ms = None;
        for millis in (60..END_MS).step_by(STEP_MS as usize) {
            let is_over = if self.innocents > 0 {
                waits.innocents == self.innocents
            } else {
                waits.suspects == self.suspects
            };
            if is_over {
                break;
            }
            let arrived = accepted_ms.len() as u64;
            if arrived < self.innocents && millis >= 200 + arrived * ARRIVAL_MS {
                let job = Id::new(FIRST_INNOCENT + arrived);
                accepted_ms.insert(job, millis);
                scheduler.accept(job, accepted_job(vec![innocent_step()]), at(millis));
            }
            for host in &mut hosts {
                let report = self.report(host, &suspects, &mut proved, millis);
                scheduler.update(&report, at(millis));
            }
            if commit_due_ms.is_some_and(|due_ms| millis >= due_ms) {
                commit_due_ms = None;
                scheduler.commit_succeeded(millis);
            }
            if commit_due_ms.is_none() && scheduler.next_commit(at(millis)).is_some() {
                commit_due_ms = Some(millis + self.commit_ms);
            }
            for host in &mut hosts {
                let ordered = orders(&mut scheduler, &host.name, at(millis));
                host.applied = host.applied.max(ordered.number);
                check_isolation(host, &ordered.starts, &suspects, &proved);
                for start in ordered.starts {
                    let job = start.task.job;
                    if let Some(accepted_ms) = accepted_ms.get(&job) {
                        waits.innocents += 1;
                        waits.innocent_ms = waits.innocent_ms.max(millis - accepted_ms);
                    } else if restarted.insert(job) {
                        waits.suspects += 1;
                        waits.suspect_ms = waits.suspect_ms.max(millis - 50);
                    }
                    host.attempts.push(Attempt {
                        start,
                        started_ms: millis,
                    });
                }
            }
        }
        waits
    }

    fn report(
        &self,
        host: &mut Host,
        suspects: &BTreeSet<Id>,
        proved: &mut BTreeSet<Id>,
        millis: u64,
    ) -> Update {
        host.number += 1;
        let is_over = |attempt: &mut Attempt| {
            let is_batch = suspects.contains(&attempt.start.task.job) && !self.is_perpetual;
            is_batch && millis >= attempt.started_ms + BATCH_TASK_MS.max(self.survival_ms)
        };
        let over: Vec<Attempt> = host.attempts.extract_if(.., is_over).collect();
        let ends = over.iter().map(|attempt| {
            host.last_end += 1;
            proved.insert(attempt.start.task.job);
            let start = &attempt.start;
            end(host.last_end, start.task, start.attempt, Ending::Done)
        });
        let ends = ends.collect();
        let status = |attempt: &Attempt| {
            let has_survived_start = millis >= attempt.started_ms + self.survival_ms;
            if has_survived_start {
                proved.insert(attempt.start.task.job);
            }
            AttemptStatus {
                has_survived_start,
                ..fresh(&attempt.start)
            }
        };
        Update {
            applied: host.applied,
            epoch: if self.has_new_owner { 2 } else { 1 },
            worker: Some(Worker {
                capacity: cores(if host.is_full { 0 } else { 16 }),
                ..worker()
            }),
            runs: host.attempts.iter().map(status).collect(),
            ends,
            ..update(&host.name, host.number)
        }
    }
}

fn innocent_step() -> Step {
    Step {
        demand: Resources {
            processors_milli: 500,
            memory_mb: 10,
            accelerators: 0,
        },
        is_perpetual: true,
        ..step(1)
    }
}

/// Checks that no task is started beside a suspect whose worker has yet to outlive it, and no suspect
/// beside other tasks of that kind.
fn check_isolation(host: &Host, starts: &[Start], suspects: &BTreeSet<Id>, proved: &BTreeSet<Id>) {
    let is_unproved = |job: &Id| suspects.contains(job) && !proved.contains(job);
    let jobs =
        |starts: &[Start]| -> Vec<Id> { starts.iter().map(|start| start.task.job).collect() };
    let started = jobs(starts);
    let running: Vec<Id> = host
        .attempts
        .iter()
        .map(|attempt| attempt.start.task.job)
        .collect();
    if !started.is_empty() {
        assert!(!running.iter().any(is_unproved), "{running:?}: {started:?}");
    }
    if started.iter().any(is_unproved) {
        assert!(started.iter().all(is_unproved), "{started:?}");
        assert!(
            running.iter().all(|job| proved.contains(job)),
            "{running:?}"
        );
    }
}

#[rstest]
fn innocent_perpetual_task_does_not_wait_for_the_proofs_of_all_suspects(
    #[values((1, 0), (2, 1), (3, 2), (11, 8))] hosts: (usize, usize),
    #[values(1, 20, 300)] suspects: u64,
    #[values(false, true)] is_perpetual: bool,
    #[values((SURVIVAL_MS, 10), (1_000, 10), (1_700, 10), (SURVIVAL_MS, 700))] delays: (u64, u64),
    #[values(false, true)] has_new_owner: bool,
) {
    let (survival_ms, commit_ms) = delays;
    let crowd = Crowd {
        is_perpetual,
        survival_ms,
        commit_ms,
        has_new_owner,
        innocents: 20,
        ..Crowd::new(hosts.0, hosts.1, suspects)
    };

    let waits = crowd.play();

    println!("{crowd:?}: {waits:?}");
    assert_eq!(waits.innocents, crowd.innocents);
    assert!(waits.innocent_ms < LIMIT_MS, "{waits:?}");
}
