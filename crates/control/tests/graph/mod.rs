//! Fixtures for tests of the scheduler and the runner.

pub mod worker;
pub mod world;

use std::sync::Arc;

use smallvec::smallvec;
use toucanquay_control::{
    runner::{Beat, Listed, Listing, Runner},
    scheduler::{Scheduler, Settings},
};
use toucanquay_model::{
    Resources, Time,
    graph::{AcceptedJob, Id, Job, Queue, Step, Task},
    session::{AttemptStatus, End, Ending, Orders, Phase, Profile, Start, Update, Worker},
};

/// Incarnation of the worker in these tests.
pub const LIFE: u64 = 1_000;

/// Name of the queue in these tests.
pub const QUEUE: &str = "plans";

/// Returns a point in time.
pub const fn at(millis: u64) -> Time {
    Time::from_millis(1_000_000 + millis)
}

/// Returns resources with memory in proportion.
pub const fn cores(count: u32) -> Resources {
    Resources {
        processors_milli: count * 1_000,
        memory_mb: count * 1_024,
        accelerators: 0,
    }
}

/// Returns a worker with 16 processors.
pub fn worker() -> Worker {
    Worker {
        incarnation: LIFE,
        pool: "desk".to_owned(),
        capacity: cores(16),
        labels: smallvec!["a".to_owned(), "rack-1".to_owned()],
        is_draining: false,
        remaining_ms: None,
    }
}

/// Returns a step of like tasks with two processors each.
pub fn step(tasks: u32) -> Step {
    Step {
        tasks,
        demand: cores(2),
        estimate_ms: 1_000,
        ..Step::default()
    }
}

/// Returns the queue of these tests.
pub fn queue() -> Queue {
    Queue {
        pool: "desk".to_owned(),
        priority: 1,
        attempts_max: 2,
        stretch: 2.0,
        slack_ms: 1_000,
    }
}

/// Returns a job that was accepted.
pub fn acceptance(steps: Vec<Step>) -> AcceptedJob {
    AcceptedJob {
        queue: QUEUE.to_owned(),
        policy: queue(),
        unix_ms: 5_000_000,
        job: Job {
            payload: "payload".to_owned(),
            steps,
            schedule: None,
        },
    }
}

/// Returns a task of the first occurrence.
pub const fn task(job: u64, step: u16, index: u32) -> Task {
    Task {
        job: Id::new(job),
        occurrence: 0,
        step,
        index,
    }
}

/// Returns an owner with authority over connected hosts with a worker each.
pub fn owner(epoch: u64, hosts: &[&str]) -> Scheduler {
    let mut scheduler = Scheduler::new(Settings::default(), epoch, [], at(0));
    scheduler.hold(at(1_000_000));
    scheduler.set_wall_clock(5_000_000, at(0));
    for host in hosts {
        scheduler.connect(host);
        scheduler.update(&update(host, 1), at(0));
    }
    scheduler
}

/// Returns an update of a host without attempts.
pub fn update(host: &str, number: u64) -> Update {
    Update {
        host: host.to_owned(),
        process: 1,
        number,
        stamp: at(0),
        epoch: 1,
        applied: 0,
        is_settled: true,
        has_sample: true,
        worker: Some(worker()),
        runs: Vec::new(),
        ends: Vec::new(),
    }
}

/// Returns a row of an update.
pub const fn run(task: Task, attempt: u64, phase: Phase) -> AttemptStatus {
    AttemptStatus {
        task,
        attempt,
        phase,
        checkpoint: None,
        done_percent: 10,
        gauge: 0,
        gauge_min: 0,
        pace_percent: 100,
    }
}

/// Returns the end of an attempt.
pub const fn end(number: u64, task: Task, attempt: u64, ending: Ending) -> End {
    End {
        number,
        task,
        attempt,
        ending,
        checkpoint: None,
    }
}

/// Returns the orders for a host, which may be none.
pub fn orders(scheduler: &mut Scheduler, host: &str, now: Time) -> Orders {
    scheduler.tick(now);
    scheduler.orders(host, now).unwrap_or_default()
}

/// Writes what waits to be recorded.
pub fn record(scheduler: &mut Scheduler, revision: u64, now: Time) {
    if scheduler.drain_commit(now).is_some() {
        scheduler.committed(revision);
    }
}

/// Returns a runner whose worker has announced itself and was listed, in a session of `epoch`.
pub fn runner(epoch: u64) -> Runner {
    let settings = toucanquay_control::runner::Settings::new("h".to_owned(), 1, 6_000_000);
    let mut runner = Runner::new(settings);
    runner.announce(beat(1));
    runner.listed(listing(at(0)), at(0));
    runner.begin_session(epoch);
    runner
}

/// Returns a heartbeat of the worker.
pub fn beat(sequence: u64) -> Beat {
    Beat {
        id: "w".to_owned(),
        sequence,
        worker: worker(),
    }
}

/// Returns an empty list.
pub const fn listing(called_at: Time) -> Listing {
    Listing {
        incarnation: LIFE,
        epoch: 0,
        called_at,
        running: Vec::new(),
        finished: Vec::new(),
    }
}

/// Returns a row of a list.
pub const fn listed(task: Task, attempt: u64) -> Listed {
    Listed {
        task,
        attempt,
        checkpoint: None,
        done_percent: 10,
        gauge: 0,
    }
}

/// Returns an order to start a task with two processors.
pub fn start(task: Task, attempt: u64) -> Start {
    Start {
        task,
        attempt,
        payload: Arc::from("payload"),
        checkpoint: None,
        profile: Profile {
            occupied: cores(2),
            ..Profile::default()
        },
    }
}

/// Returns orders with a fresh lease.
pub fn fresh_orders(epoch: u64, number: u64, stamp: Time) -> Orders {
    Orders {
        epoch,
        number,
        stamp,
        worker: LIFE,
        ..Orders::default()
    }
}
