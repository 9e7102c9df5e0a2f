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
    graph::{AcceptedJob, Id, Place, Progress, State, Step, TaskProgress},
    session::{AttemptStatus, Ending, Start, Update, Worker},
};

/// Time without a run that counts as a loss, in milliseconds.
const LIMIT_MS: u64 = 3_000;

/// Time within which perpetual suspects run again, in milliseconds.
const SUSPECTS_LIMIT_MS: u64 = 6_000;

/// Time from a start until a list shows that the worker has outlived it, in milliseconds: the time
/// for which it is at risk, and half the interval of lists of 125 ms.
const SURVIVAL_MS: u64 = 312;

/// Time from the start of a deadly task until its worker crashes, in milliseconds.
const CRASH_MS: u64 = 10;

/// Time from a crash until the worker is back, in milliseconds.
const BACK_MS: u64 = 3_300;

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
    /// Number of crashes of its worker.
    crashes: u64,
    /// When its worker is back after a crash.
    back_ms: u64,
}

/// Parameters of a simulation: a worker crashes under many suspects, and all room is on a few other
/// hosts.
#[derive(Debug, Clone, Copy)]
struct Crowd {
    hosts: usize,
    /// Number of the hosts that have no room.
    full_hosts: usize,
    suspects: u64,
    /// Number of the suspects that are perpetual; those that were accepted last.
    perpetual_suspects: u64,
    /// Time from a start to its proof, in milliseconds.
    survival_ms: u64,
    /// Time from a commit to its answer, in milliseconds.
    commit_ms: u64,
    /// A new owner takes over shortly after the crash.
    has_new_owner: bool,
    /// Number of innocent perpetual tasks that arrive.
    innocents: u64,
    /// Suspect that crashes each worker that starts it.
    deadly: Option<u64>,
}

/// Longest waits in milliseconds, and numbers of tasks that have started.
#[derive(Debug, Default)]
struct Waits {
    innocent_ms: u64,
    perpetual_suspect_ms: u64,
    innocents: u64,
    perpetual_suspects: u64,
    /// Crashes of workers after the first one.
    crashes: u64,
}

/// State of a simulation.
#[derive(Debug)]
struct Play {
    crowd: Crowd,
    scheduler: Scheduler,
    hosts: Vec<Host>,
    suspects: BTreeSet<Id>,
    /// Tasks whose start a worker has outlived.
    proved: BTreeSet<Id>,
    /// When the innocent tasks were accepted.
    accepted_ms: BTreeMap<Id, u64>,
    /// Perpetual suspects that have started again.
    restarted: BTreeSet<Id>,
    commit_due_ms: Option<u64>,
    waits: Waits,
}

impl Crowd {
    const fn new(hosts: usize, full_hosts: usize, suspects: u64) -> Self {
        Self {
            hosts,
            full_hosts,
            suspects,
            perpetual_suspects: 0,
            survival_ms: SURVIVAL_MS,
            commit_ms: 10,
            has_new_owner: false,
            innocents: 0,
            deadly: None,
        }
    }

    fn is_perpetual(&self, job: Id) -> bool {
        job > Id::new(self.suspects - self.perpetual_suspects)
    }

    /// Returns a suspect. Batch jobs have the higher priority.
    fn suspect(&self, job: Id) -> AcceptedJob {
        let is_perpetual = self.is_perpetual(job);
        let step = Step {
            demand: Resources {
                processors_milli: 10,
                memory_mb: 10,
                accelerators: 0,
            },
            is_perpetual,
            ..step(1)
        };
        let mut accepted = accepted_job(vec![step]);
        accepted.policy.priority = u32::from(is_perpetual);
        accepted
    }

    /// Returns the owner after the crash, and the suspects.
    fn owner_after_crash(&self) -> (Scheduler, Vec<Start>) {
        let mut scheduler = owner(1, &[LOST]);
        for job in (1..=self.suspects).map(Id::new) {
            scheduler.accept(job, self.suspect(job), at(0));
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
            let job = self.suspect(start.task.job);
            let restored = RestoredJob {
                progress,
                revision: 5,
            };
            scheduler.restore(start.task.job, job, restored, at(60));
        }
        scheduler
    }

    /// Returns what has happened, and when the awaited tasks had started, if they have.
    fn play(&self) -> (Waits, Option<u64>) {
        let mut play = Play::new(*self);
        for millis in (60..END_MS).step_by(STEP_MS as usize) {
            if play.is_over() {
                return (play.waits, Some(millis));
            }
            play.step(millis);
        }
        (play.waits, None)
    }
}

impl Play {
    fn new(crowd: Crowd) -> Self {
        let host = |index| Host {
            name: format!("h{index:02}"),
            is_full: index < crowd.full_hosts,
            ..Host::default()
        };
        let hosts: Vec<Host> = (0..crowd.hosts).map(host).collect();
        let (mut scheduler, starts) = crowd.owner_after_crash();
        if crowd.has_new_owner {
            let names: Vec<String> = hosts.iter().map(|host| host.name.clone()).collect();
            scheduler = crowd.next_owner(&starts, &names);
        }
        for host in &hosts {
            scheduler.connect(&host.name);
        }
        Self {
            crowd,
            scheduler,
            hosts,
            suspects: starts.iter().map(|start| start.task.job).collect(),
            proved: BTreeSet::new(),
            accepted_ms: BTreeMap::new(),
            restarted: BTreeSet::new(),
            commit_due_ms: None,
            waits: Waits::default(),
        }
    }

    fn is_over(&self) -> bool {
        if let Some(deadly) = self.crowd.deadly {
            let attempts = self.hosts.iter().flat_map(|host| &host.attempts);
            let running: BTreeSet<Id> = attempts.map(|attempt| attempt.start.task.job).collect();
            let is_deadly_over = self.scheduler.job_state(Id::new(deadly)) == Some(State::Failed);
            return is_deadly_over && running.len() as u64 == self.crowd.suspects - 1;
        }
        if self.crowd.innocents > 0 {
            return self.waits.innocents == self.crowd.innocents;
        }
        self.waits.perpetual_suspects == self.crowd.perpetual_suspects
    }

    fn step(&mut self, millis: u64) {
        self.accept_innocents(millis);
        self.report_hosts(millis);
        self.commit(millis);
        self.carry_out_orders(millis);
    }

    fn accept_innocents(&mut self, millis: u64) {
        let arrived = self.accepted_ms.len() as u64;
        if arrived < self.crowd.innocents && millis >= 200 + arrived * ARRIVAL_MS {
            let job = Id::new(FIRST_INNOCENT + arrived);
            self.accepted_ms.insert(job, millis);
            let accepted = accepted_job(vec![innocent_step()]);
            self.scheduler.accept(job, accepted, at(millis));
        }
    }

    fn report_hosts(&mut self, millis: u64) {
        for host in &mut self.hosts {
            let report = if host.has_begun(self.crowd.deadly, millis) {
                self.waits.crashes += 1;
                host.crash(&self.proved, millis)
            } else if millis >= host.back_ms {
                let (suspects, proved) = (&self.suspects, &mut self.proved);
                self.crowd.report(host, suspects, proved, millis)
            } else {
                continue;
            };
            self.scheduler.update(&report, at(millis));
        }
    }

    fn commit(&mut self, millis: u64) {
        if self.commit_due_ms.is_some_and(|due_ms| millis >= due_ms) {
            self.commit_due_ms = None;
            self.scheduler.commit_succeeded(millis);
        }
        if self.commit_due_ms.is_none() && self.scheduler.next_commit(at(millis)).is_some() {
            self.commit_due_ms = Some(millis + self.crowd.commit_ms);
        }
    }

    fn carry_out_orders(&mut self, millis: u64) {
        for index in 0..self.hosts.len() {
            let host = &mut self.hosts[index];
            let ordered = orders(&mut self.scheduler, &host.name, at(millis));
            host.applied = host.applied.max(ordered.number);
            check_isolation(host, &ordered.starts, &self.suspects, &self.proved);
            for start in ordered.starts {
                self.note_start(start.task.job, millis);
                self.hosts[index].attempts.push(Attempt {
                    start,
                    started_ms: millis,
                });
            }
        }
    }

    fn note_start(&mut self, job: Id, millis: u64) {
        let waits = &mut self.waits;
        if let Some(accepted_ms) = self.accepted_ms.get(&job) {
            waits.innocents += 1;
            waits.innocent_ms = waits.innocent_ms.max(millis - accepted_ms);
        } else if self.crowd.is_perpetual(job) && self.restarted.insert(job) {
            waits.perpetual_suspects += 1;
            waits.perpetual_suspect_ms = waits.perpetual_suspect_ms.max(millis - 50);
        }
    }
}

impl Host {
    /// Returns whether the worker has begun the deadly task.
    fn has_begun(&self, deadly: Option<u64>, millis: u64) -> bool {
        let is_deadly = |attempt: &Attempt| {
            let job = attempt.start.task.job;
            deadly.map(Id::new) == Some(job) && millis >= attempt.started_ms + CRASH_MS
        };
        self.attempts.iter().any(is_deadly)
    }

    /// Returns the report of a crash, whose suspects are the attempts without a proof.
    fn crash(&mut self, proved: &BTreeSet<Id>, millis: u64) -> Update {
        let attempts = std::mem::take(&mut self.attempts);
        let starts = attempts.iter().map(|attempt| &attempt.start);
        let suspects: Vec<&Start> = starts
            .filter(|start| !proved.contains(&start.task.job))
            .collect();
        self.number += 1;
        let incarnation = WORKER_INCARNATION + self.crashes;
        self.crashes += 1;
        self.back_ms = millis + BACK_MS;
        crashed(&self.name, self.number, incarnation, &suspects)
    }
}

impl Crowd {
    fn report(
        &self,
        host: &mut Host,
        suspects: &BTreeSet<Id>,
        proved: &mut BTreeSet<Id>,
        millis: u64,
    ) -> Update {
        host.number += 1;
        let is_over = |attempt: &mut Attempt| {
            let job = attempt.start.task.job;
            let is_batch = suspects.contains(&job) && !self.is_perpetual(job);
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
                incarnation: WORKER_INCARNATION + host.crashes,
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
        perpetual_suspects: if is_perpetual { suspects } else { 0 },
        survival_ms,
        commit_ms,
        has_new_owner,
        innocents: 20,
        ..Crowd::new(hosts.0, hosts.1, suspects)
    };

    let (waits, _) = crowd.play();

    println!("{crowd:?}: {waits:?}");
    assert_eq!(waits.innocents, crowd.innocents);
    assert!(waits.innocent_ms < LIMIT_MS, "{waits:?}");
}

#[rstest]
fn perpetual_suspects_run_again_within_six_seconds_beside_any_number_of_suspects(
    #[values(1, 2, 3, 11)] hosts: usize,
    #[values((20, 20), (100, 100), (300, 300), (300, 10))] suspects: (u64, u64),
    #[values(false, true)] has_new_owner: bool,
) {
    let crowd = Crowd {
        perpetual_suspects: suspects.1,
        has_new_owner,
        ..Crowd::new(hosts, 0, suspects.0)
    };

    let (waits, _) = crowd.play();

    println!("{crowd:?}: {waits:?}");
    assert_eq!(waits.perpetual_suspects, crowd.perpetual_suspects);
    assert!(waits.perpetual_suspect_ms < SUSPECTS_LIMIT_MS, "{waits:?}");
}

/// Guards against a deadly task that crashes many workers, and sound ones that are given up, if probes
/// have many tasks.
#[rstest]
fn deadly_task_among_many_suspects_is_given_up_and_all_others_run(
    #[values(1, 3, 11)] hosts: usize,
    #[values(20, 100, 300)] suspects: u64,
) {
    let crowd = Crowd {
        perpetual_suspects: suspects,
        deadly: Some(suspects / 2),
        ..Crowd::new(hosts, 0, suspects)
    };

    let (waits, is_over_ms) = crowd.play();

    println!("{crowd:?}: {waits:?} {is_over_ms:?}");
    assert!(is_over_ms.is_some(), "{waits:?}");
    assert!(waits.crashes <= 2, "{waits:?}");
}
