//! Tests of hosts whose companion finds that nothing runs beside it.

#[expect(dead_code, reason = "the fixtures are shared with other tests")]
mod graph;

use graph::{
    accepted_job, at, attempt_status, commit_changes, empty_orders, heartbeat, orders, owner, step,
    task, update,
};
use rstest::rstest;
use toucanquay_control::{
    runner::{self, Runner},
    scheduler::Scheduler,
};
use toucanquay_model::{
    graph::{Id, State},
    session::{Phase, Stop, Update},
};

/// Length of a worker's lease, in milliseconds.
const LEASE_MS: u64 = 6_000;

/// Returns an owner with a task on `h1` that its worker has begun, and with `h2`, which is free.
/// `has_survived` is whether the worker is known to have outlived the start.
fn owner_with_a_task(has_survived: bool) -> Scheduler {
    let mut scheduler = owner(1, &["h1"]);
    scheduler.accept(Id::new(1), accepted_job(vec![step(1)]), at(0));
    let start = orders(&mut scheduler, "h1", at(1)).starts.remove(0);
    let mut running = update("h1", 2);
    running.applied = 9;
    running.runs = vec![attempt_status(start.task, start.attempt, Phase::Running)];
    running.runs[0].has_survived_start = has_survived;
    scheduler.update(&running, at(500));
    scheduler.connect("h2");
    scheduler.update(&update("h2", 1), at(500));
    scheduler
}

/// Returns the first update of a restarted companion of `h1` that knows no worker.
fn restarted_update(is_settled: bool) -> Update {
    Update {
        process: 2,
        worker: None,
        is_settled,
        ..update("h1", 1)
    }
}

/// Restarts the companion of `h1`, which then sends an update.
fn restart_companion(scheduler: &mut Scheduler, update: &Update) {
    scheduler.disconnect("h1");
    scheduler.connect("h1");
    scheduler.update(update, at(1_500));
}

/// Guards against a task that waits for the lease of a worker that has ended together with its
/// companion, and against a task that starts elsewhere while the worker may run it.
#[rstest]
#[case::nothing_runs(true, 1)]
#[case::not_known(false, 0)]
fn task_does_not_wait_for_the_lease_of_a_worker_that_a_new_companion_finds_gone(
    #[case] is_settled: bool,
    #[case] starts: usize,
) {
    let mut scheduler = owner_with_a_task(true);
    restart_companion(&mut scheduler, &restarted_update(is_settled));

    let elsewhere = orders(&mut scheduler, "h2", at(1_501)).starts;

    assert_eq!(elsewhere.len(), starts);
}

/// Guards against a task that crashes its workers and isn't counted as a suspect, because the
/// companion ended, too.
#[test]
fn task_that_was_just_started_is_a_suspect_when_worker_and_companion_are_gone() {
    let mut scheduler = owner_with_a_task(false);
    restart_companion(&mut scheduler, &restarted_update(true));
    let early = orders(&mut scheduler, "h2", at(1_501)).starts;
    commit_changes(&mut scheduler, 20, at(1_600));

    let probes = orders(&mut scheduler, "h2", at(1_601)).starts;

    assert!(early.is_empty(), "its crash isn't recorded");
    assert!(probes.len() == 1 && probes[0].is_probe, "{probes:?}");
    assert_eq!(scheduler.job_state(Id::new(1)), Some(State::Running));
}

/// Returns a companion process that has begun a session and has refused connections to its worker for
/// the time after which an exit is certain.
fn companion_of_a_refusing_worker(mut runner: Runner) -> Runner {
    runner.begin_session(1);
    for millis in [1_000, 1_300, 1_600] {
        runner.record_refusal(at(millis));
    }
    runner
}

/// Returns a companion process that has just started.
fn new_companion() -> Runner {
    let settings = runner::Settings::new("h1".to_owned(), 2, LEASE_MS * 1_000);
    Runner::new(settings.started_at(at(900)))
}

/// Returns the runner of a companion whose worker has said that it leaves.
fn companion_of_a_worker_that_has_left() -> Runner {
    let mut runner = graph::runner(1);
    runner.apply_orders(&empty_orders(1, 1, at(900)), at(901));
    runner.deregister_worker("w", None);
    runner
}

/// Guards against hosts that owners wait for although nothing runs there.
#[rstest]
#[case::never_seen(new_companion())]
#[case::left(companion_of_a_worker_that_has_left())]
fn companion_of_a_worker_that_refuses_connections_says_that_nothing_runs(#[case] runner: Runner) {
    let mut runner = companion_of_a_refusing_worker(runner);
    let mut orders = empty_orders(1, 2, at(1_600));
    orders.stops.push(Stop {
        task: task(1, 0, 0),
        attempt: 1,
    });
    runner.apply_orders(&orders, at(1_601));

    let update = runner.next_update(at(1_602));

    assert!(update.is_settled);
    assert!(update.worker.is_none() && update.runs.is_empty());
    assert!(update.crashes.is_empty());
}

/// Guards against a host that counts as vacant while a worker that has just begun to listen may run
/// attempts.
#[test]
fn worker_that_is_listed_after_it_was_found_gone_is_settled_only_by_its_list() {
    let mut runner = companion_of_a_refusing_worker(new_companion());
    runner.apply_list(graph::empty_list(at(2_000)), at(2_001));

    let unannounced = runner.next_update(at(2_002));
    runner.record_heartbeat(heartbeat(1), at(2_003));
    let announced = runner.next_update(at(2_004));

    assert!(!unannounced.is_settled && unannounced.is_worker_silent);
    assert!(announced.worker.is_some());
}
