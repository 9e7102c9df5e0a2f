//! Tests of which hosts a new owner waits for before it restarts the tasks of older jobs.

#[expect(dead_code, reason = "the fixtures are shared with other tests")]
mod graph;

use graph::{
    WORKER_INCARNATION, accepted_job, at, attempt_status, empty_list, empty_orders, heartbeat,
    listed, orders, owner, runner, step, task, update,
};
use rstest::rstest;
use toucanquay_control::{
    runner::{self, AttemptList, ListedAttempt, Runner},
    scheduler::{RestoredJob, Scheduler, Settings},
};
use toucanquay_model::{
    Time,
    graph::Id,
    session::{Orders, Phase, Stop, Update},
};

/// Length of a worker's lease, in milliseconds.
const LEASE_MS: u64 = 6_000;

/// Returns a new owner that has inherited a job with one task, and has heard `h1`, but not `h2`.
fn owner_that_awaits_a_host() -> Scheduler {
    let hosts = ["h1".to_owned(), "h2".to_owned()];
    let mut scheduler = Scheduler::new(Settings::default(), 2, hosts, at(0));
    scheduler.extend_ownership(at(100_000));
    let job = accepted_job(vec![step(1)]);
    scheduler.restore(Id::new(1), job, RestoredJob::default(), at(0));
    scheduler.connect("h1");
    scheduler.update(&update("h1", 1), at(1));
    scheduler.connect("h2");
    scheduler
}

/// Returns the first update of a runner in a session of epoch 2.
fn first_update(runner: &mut Runner, now: Time) -> Update {
    runner.begin_session(2);
    Update {
        host: "h2".to_owned(),
        ..runner.next_update(now)
    }
}

/// Returns a companion process that started at `at(0)` and has not heard its worker.
fn restarted_companion() -> Runner {
    let settings = runner::Settings::new("h2".to_owned(), 1, LEASE_MS * 1_000);
    Runner::new(settings.started_at(at(0)))
}

#[test]
fn owner_does_not_wait_for_a_worker_that_has_exited() {
    let mut scheduler = owner_that_awaits_a_host();
    let mut runner = runner(1);
    runner.mark_worker_exited();

    scheduler.update(&first_update(&mut runner, at(10)), at(10));

    assert_eq!(orders(&mut scheduler, "h1", at(11)).starts.len(), 1);
}

#[rstest]
#[case::while_the_lease_lasts(100 + LEASE_MS + 399, 0)]
#[case::after_the_lease(100 + LEASE_MS + 400, 1)]
fn owner_does_not_wait_for_a_silent_worker_whose_lease_is_over(
    #[case] millis: u64,
    #[case] starts: usize,
) {
    let mut runner = runner(1);
    runner.apply_orders(&empty_orders(1, 1, at(100)), at(101));
    runner.record_failed_list(at(2_000));
    runner.record_failed_list(at(2_001));
    let mut scheduler = owner_that_awaits_a_host();

    scheduler.update(&first_update(&mut runner, at(millis)), at(10));

    assert_eq!(orders(&mut scheduler, "h1", at(11)).starts.len(), starts);
}

#[rstest]
#[case::while_a_former_process_may_have_renewed_it(LEASE_MS + 399, 0)]
#[case::after_the_lease(LEASE_MS + 400, 1)]
fn owner_does_not_wait_for_a_worker_that_never_announces_itself(
    #[case] millis: u64,
    #[case] starts: usize,
) {
    let mut runner = restarted_companion();
    let mut scheduler = owner_that_awaits_a_host();

    scheduler.update(&first_update(&mut runner, at(millis)), at(10));

    assert_eq!(orders(&mut scheduler, "h1", at(11)).starts.len(), starts);
}

#[test]
fn owner_waits_for_a_worker_that_has_announced_itself_and_listed_nothing() {
    let mut runner = restarted_companion();
    runner.record_heartbeat(heartbeat(1), at(1));
    let mut scheduler = owner_that_awaits_a_host();

    scheduler.update(&first_update(&mut runner, at(10)), at(10));

    assert!(orders(&mut scheduler, "h1", at(11)).starts.is_empty());
}

#[test]
fn owner_waits_for_a_worker_that_is_listed_and_has_not_announced_itself() {
    let mut runner = restarted_companion();
    runner.begin_session(2);
    let list = AttemptList {
        epoch: 2,
        running: vec![listed(task(1, 0, 0), 7)],
        ..empty_list(at(5))
    };
    runner.apply_list(list, at(6));
    let mut scheduler = owner_that_awaits_a_host();

    scheduler.update(&first_update(&mut runner, at(10)), at(10));

    assert!(orders(&mut scheduler, "h1", at(11)).starts.is_empty());
}

#[test]
fn owner_waits_for_a_host_whose_attempts_it_has_not_adopted() {
    let mut scheduler = owner_that_awaits_a_host();
    let unheard = Update {
        worker: None,
        runs: vec![attempt_status(task(1, 0, 0), 7, Phase::Running)],
        ..update("h2", 1)
    };

    scheduler.update(&unheard, at(10));

    assert!(orders(&mut scheduler, "h1", at(11)).starts.is_empty());
}

#[test]
fn owner_does_not_wait_for_an_exited_worker_that_gets_a_late_stop() {
    let mut runner = runner(1);
    runner.mark_worker_exited();
    let late = Orders {
        stops: vec![Stop {
            task: task(1, 0, 0),
            attempt: 7,
        }],
        ..empty_orders(1, 1, at(1))
    };
    runner.apply_orders(&late, at(2));
    let mut scheduler = owner_that_awaits_a_host();

    scheduler.update(&first_update(&mut runner, at(10)), at(10));

    assert_eq!(orders(&mut scheduler, "h1", at(11)).starts.len(), 1);
}

#[test]
fn owner_waits_for_a_worker_that_only_says_that_it_leaves() {
    let mut runner = runner(1);
    runner.apply_orders(&empty_orders(1, 1, at(0)), at(1));
    runner.deregister_worker("w", None);
    let mut scheduler = owner_that_awaits_a_host();

    scheduler.update(&first_update(&mut runner, at(10)), at(10));

    assert!(orders(&mut scheduler, "h1", at(11)).starts.is_empty());
}

/// A start that is on its way reaches the next life of the worker.
#[test]
fn task_that_started_in_an_unnoticed_life_of_its_worker_is_not_started_elsewhere() {
    let mut scheduler = owner(1, &["h", "h2"]);
    scheduler.accept(Id::new(1), accepted_job(vec![step(1)]), at(0));
    let mut sent = orders(&mut scheduler, "h", at(1)).starts;
    sent.extend(orders(&mut scheduler, "h2", at(1)).starts);
    let attempt = sent[0].attempt;
    let mut runner = runner(1);
    runner.apply_list(next_life(2, Vec::new()), at(3));
    scheduler.update(&numbered(runner.next_update(at(4)), 2), at(4));
    let running = vec![listed(task(1, 0, 0), attempt)];
    runner.apply_list(next_life(5, running), at(6));
    scheduler.update(&numbered(runner.next_update(at(7)), 3), at(7));

    let elsewhere = orders(&mut scheduler, "h2", at(8));

    assert!(elsewhere.starts.is_empty());
}

/// Returns the list of the worker's next life, as called at `millis`.
fn next_life(millis: u64, running: Vec<ListedAttempt>) -> AttemptList {
    AttemptList {
        incarnation: WORKER_INCARNATION + 1,
        running,
        ..empty_list(at(millis))
    }
}

/// Returns an update with another number.
fn numbered(update: Update, number: u64) -> Update {
    Update { number, ..update }
}
