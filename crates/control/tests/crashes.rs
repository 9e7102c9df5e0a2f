//! Tests of tasks that crash the workers that start them.

#[expect(dead_code, reason = "the fixtures are shared with other tests")]
mod graph;

use graph::{
    WORKER_INCARNATION, accepted_job, at, commit_changes, crash, crashed, empty_list, empty_orders,
    end, fresh, heartbeat, listed, orders, owner, runner, start, started, step, task, update,
    worker,
};
use rstest::rstest;
use toucanquay_control::{
    runner::{AttemptList, CallOutcome, Heartbeat, Runner},
    scheduler::{RestoredJob, Scheduler, Settings},
};
use toucanquay_model::{
    graph::{Id, Progress, State, Task, TaskProgress},
    session::{AttemptStatus, Crash, Ending, Orders, Start, Update, Worker},
};

/// Returns a runner that was told to start a task at 1 ms.
fn runner_with_start() -> Runner {
    let mut runner = runner(1);
    let orders = Orders {
        starts: vec![start(task(1, 0, 0), 7)],
        ..empty_orders(1, 1, at(0))
    };
    runner.apply_orders(&orders, at(1));
    runner
}

/// Returns the crashes that the runner reports.
fn reported_crashes(runner: &mut Runner) -> Vec<Crash> {
    runner.next_update(at(1_000)).crashes
}

/// Returns the scheduler of an owner with three hosts and a job of one task, whose first worker has
/// crashed after the start, and the host and the start of the second attempt.
fn scheduler_with_a_probe() -> (Scheduler, String, Start) {
    let hosts = ["h1", "h2", "h3"];
    let mut scheduler = owner(1, &hosts);
    scheduler.accept(Id::new(1), accepted_job(vec![step(1)]), at(0));
    let (host, starts) = started(&mut scheduler, &hosts, at(1)).remove(0);
    scheduler.update(
        &crashed(&host, 2, WORKER_INCARNATION, &[&starts[0]]),
        at(100),
    );
    commit_changes(&mut scheduler, 20, at(200));
    let (host, mut starts) = started(&mut scheduler, &hosts, at(201)).remove(0);
    (scheduler, host, starts.remove(0))
}

/// Guards against a crash whose cause can't be found because nobody reports what had just started.
#[rstest]
#[case::unanswered(None)]
#[case::answered(Some(CallOutcome::Done))]
fn attempt_that_was_started_just_before_a_crash_is_a_suspect(#[case] outcome: Option<CallOutcome>) {
    let mut runner = runner_with_start();
    if let Some(outcome) = outcome {
        runner.record_start_outcome(task(1, 0, 0), 7, outcome, at(5));
    }
    runner.mark_worker_exited();

    let crashes = reported_crashes(&mut runner);

    let mut expected = crash(WORKER_INCARNATION, &[&start(task(1, 0, 0), 7)]);
    expected.suspects[0].is_started = outcome.is_some();
    assert_eq!(crashes, [expected]);
}

/// Returns a list without attempts of the worker's next incarnation.
fn next_list() -> AttemptList {
    AttemptList {
        incarnation: WORKER_INCARNATION + 1,
        ..empty_list(at(20))
    }
}

/// Guards against a crash that is missed because the worker is back before a call fails.
#[test]
fn crash_is_noticed_by_the_next_incarnation() {
    let mut runner = runner_with_start();
    runner.record_heartbeat(
        Heartbeat {
            worker: Worker {
                incarnation: WORKER_INCARNATION + 1,
                ..worker()
            },
            ..heartbeat(1)
        },
        at(0),
    );
    runner.apply_list(next_list(), at(21));

    let crashes = reported_crashes(&mut runner);

    assert_eq!(crashes.len(), 1);
}

/// Guards against blaming a task for the exit of a worker that drained or deregistered, or that it
/// had run on for long.
#[test]
fn planned_exit_has_no_suspects() {
    let mut draining = runner_with_start();
    draining.record_heartbeat(
        Heartbeat {
            worker: Worker {
                is_draining: true,
                ..worker()
            },
            ..heartbeat(2)
        },
        at(0),
    );
    draining.mark_worker_exited();
    let mut deregistered = runner_with_start();
    deregistered.deregister_worker("w", None);
    let mut outlived = runner_with_start();
    outlived.record_start_outcome(task(1, 0, 0), 7, CallOutcome::Done, at(5));
    let mut list = empty_list(at(300));
    list.running.push(listed(task(1, 0, 0), 7));
    outlived.apply_list(list, at(300));
    outlived.mark_worker_exited();

    let crashes =
        [draining, deregistered, outlived].map(|mut runner| reported_crashes(&mut runner));

    assert_eq!(crashes, [const { Vec::new() }; 3]);
}

/// Guards against blaming an attempt whose start was refused, or that is no longer on the worker.
#[test]
fn attempt_that_never_ran_is_no_suspect() {
    let mut refused = runner_with_start();
    refused.record_start_outcome(task(1, 0, 0), 7, CallOutcome::Refused, at(5));
    refused.mark_worker_exited();
    let mut absent = runner_with_start();
    absent.record_start_outcome(task(1, 0, 0), 7, CallOutcome::Done, at(5));
    absent.apply_list(empty_list(at(300)), at(300));
    absent.mark_worker_exited();

    let crashes = [refused, absent].map(|mut runner| reported_crashes(&mut runner));

    assert_eq!(crashes, [const { Vec::new() }; 2]);
}

/// Guards against the loss of a crash that the owner has not recorded yet.
#[test]
fn crash_is_reported_until_it_is_acknowledged() {
    let mut runner = runner_with_start();
    runner.mark_worker_exited();
    runner.apply_orders(&empty_orders(1, 2, at(0)), at(10));
    let before = reported_crashes(&mut runner).len();
    let acknowledgement = Orders {
        crashes_acknowledged: WORKER_INCARNATION,
        ..empty_orders(1, 3, at(0))
    };
    runner.apply_orders(&acknowledgement, at(20));

    let after = reported_crashes(&mut runner).len();

    assert_eq!((before, after), (1, 0));
}

/// Guards against a count that is lost with its owner: a suspect task is not started again before
/// its crash is recorded.
#[test]
fn suspect_waits_until_its_crash_is_recorded() {
    let hosts = ["h1", "h2", "h3"];
    let mut scheduler = owner(1, &hosts);
    scheduler.accept(Id::new(1), accepted_job(vec![step(1)]), at(0));
    let (host, starts) = started(&mut scheduler, &hosts, at(1)).remove(0);
    scheduler.update(
        &crashed(&host, 2, WORKER_INCARNATION, &[&starts[0]]),
        at(100),
    );
    let unrecorded = started(&mut scheduler, &hosts, at(150)).len();
    let unacknowledged = orders(&mut scheduler, &host, at(150)).crashes_acknowledged;
    commit_changes(&mut scheduler, 20, at(200));

    let recorded = started(&mut scheduler, &hosts, at(201));
    let acknowledged = orders(&mut scheduler, &host, at(202)).crashes_acknowledged;

    assert_eq!((unrecorded, unacknowledged), (0, 0));
    assert!(recorded[0].1[0].is_probe);
    assert_eq!(acknowledged, WORKER_INCARNATION);
}

/// Guards against a task that crashes each worker that starts it and is started without limit.
#[test]
fn task_that_was_alone_under_the_second_crash_is_given_up() {
    let (mut scheduler, host, probe) = scheduler_with_a_probe();

    scheduler.update(&crashed(&host, 2, WORKER_INCARNATION, &[&probe]), at(300));
    commit_changes(&mut scheduler, 21, at(400));

    assert_eq!(scheduler.job_state(Id::new(1)), Some(State::Failed));
}

/// Guards against giving up a sound task that was beside another suspect when two workers crashed.
#[test]
fn task_with_other_suspects_is_not_given_up_after_two_crashes() {
    let (mut scheduler, host, probe) = scheduler_with_a_probe();
    scheduler.accept(Id::new(2), accepted_job(vec![step(1)]), at(210));
    let other = Start {
        task: task(2, 0, 0),
        ..probe.clone()
    };

    scheduler.update(
        &crashed(&host, 2, WORKER_INCARNATION, &[&probe, &other]),
        at(300),
    );
    commit_changes(&mut scheduler, 21, at(400));

    assert_ne!(scheduler.job_state(Id::new(1)), Some(State::Failed));
    assert_ne!(scheduler.job_state(Id::new(2)), Some(State::Failed));
}

/// Guards against a task that is never given up because something else had always just started.
#[rstest]
#[case::two(2, false)]
#[case::three(3, true)]
fn task_is_given_up_after_three_crashes_among_other_suspects(
    #[case] crashes: u64,
    #[case] is_given_up: bool,
) {
    let hosts = ["h1", "h2", "h3"];
    let mut scheduler = owner(1, &hosts);
    for job in 1..=4 {
        scheduler.accept(Id::new(job), accepted_job(vec![step(1)]), at(0));
    }
    for (round, host) in (0..crashes).zip(hosts) {
        let deadly = start(task(1, 0, 0), 10 + round);
        let other = start(task(2 + round, 0, 0), 20 + round);
        let report = crashed(host, 2, WORKER_INCARNATION, &[&deadly, &other]);
        scheduler.update(&report, at(100 * (round + 1)));
        commit_changes(&mut scheduler, 20 + round, at(100 * (round + 1) + 50));
    }

    let state = scheduler.job_state(Id::new(1));

    assert_eq!(state == Some(State::Failed), is_given_up);
    assert_ne!(scheduler.job_state(Id::new(2)), Some(State::Failed));
}

/// Guards against tasks that are lost, or blamed, because they start beside a suspect.
#[test]
fn nothing_else_is_started_beside_a_probe() {
    let (mut scheduler, host, probe) = scheduler_with_a_probe();
    scheduler.accept(Id::new(2), accepted_job(vec![step(24)]), at(210));
    let during = orders(&mut scheduler, &host, at(220)).starts.len();
    let mut survived = update(&host, 3);
    survived.runs.push(AttemptStatus {
        has_survived_start: true,
        ..fresh(&probe)
    });
    survived.applied = 9;
    scheduler.update(&survived, at(600));

    let after = orders(&mut scheduler, &host, at(601)).starts.len();

    assert_eq!(during, 0);
    assert!(after > 0);
}

/// Guards against giving up a task for crashes with which it had nothing to do: its worker has
/// outlived a start in between, or the task has ended on it.
#[rstest]
#[case::outlived(true)]
#[case::failed(false)]
fn task_whose_worker_lives_on_is_no_longer_a_suspect(#[case] is_running: bool) {
    let (mut scheduler, host, probe) = scheduler_with_a_probe();
    let mut survived = update(&host, 3);
    survived.applied = 9;
    if is_running {
        survived.runs.push(AttemptStatus {
            has_survived_start: true,
            ..fresh(&probe)
        });
    } else {
        let end = end(1, probe.task, probe.attempt, Ending::Failed);
        survived.ends.push(end);
    }
    scheduler.update(&survived, at(600));

    let progress = scheduler.next_commit(at(700)).expect("a change to record");

    let tallies = &progress.records[0].2.tallies;
    assert!(tallies.iter().all(|tally| tally.crashed.is_empty()));
}

/// Guards against a count that starts anew with each owner.
#[test]
fn crashes_are_counted_across_owners() {
    let mut scheduler = Scheduler::new(Settings::default(), 2, [], at(0));
    scheduler.extend_ownership(at(10_000));
    let place = toucanquay_model::graph::Place {
        occurrence: 0,
        step: 0,
        index: 0,
    };
    let tally = TaskProgress {
        place,
        failed: [].into_iter().collect(),
        crashed: [7].into_iter().collect(),
        suspected: [].into_iter().collect(),
        checkpoint: None,
    };
    let restored = RestoredJob {
        progress: Progress {
            tallies: vec![tally],
            ..Progress::default()
        },
        revision: 3,
    };
    scheduler.restore(Id::new(1), accepted_job(vec![step(1)]), restored, at(0));
    for host in ["h1", "h2", "h3"] {
        scheduler.connect(host);
        scheduler.update(&update(host, 1), at(1));
    }
    let (host, starts) = started(&mut scheduler, &["h1", "h2", "h3"], at(2)).remove(0);

    scheduler.update(
        &crashed(&host, 2, WORKER_INCARNATION, &[&starts[0]]),
        at(100),
    );
    commit_changes(&mut scheduler, 20, at(200));

    assert_eq!(scheduler.job_state(Id::new(1)), Some(State::Failed));
}

/// Guards against a crash that nobody reports because the agent restarts just after its worker.
#[test]
fn crash_is_counted_although_the_agent_has_restarted() {
    let hosts = ["h1", "h2", "h3"];
    let mut scheduler = owner(1, &hosts);
    scheduler.accept(Id::new(1), accepted_job(vec![step(1)]), at(0));
    let (host, _) = started(&mut scheduler, &hosts, at(1)).remove(0);
    scheduler.disconnect(&host);
    scheduler.connect(&host);
    let restarted = Update {
        process: 2,
        worker: Some(Worker {
            incarnation: WORKER_INCARNATION + 1,
            ..worker()
        }),
        ..update(&host, 1)
    };
    scheduler.update(&restarted, at(100));
    commit_changes(&mut scheduler, 20, at(200));

    let again = started(&mut scheduler, &hosts, at(201)).remove(0).1;

    assert!(again[0].is_probe);
}

/// Guards against suspecting the tasks of a host that was only silent.
#[test]
fn task_of_a_silent_host_is_no_suspect() {
    let mut scheduler = owner(1, &["h1"]);
    scheduler.accept(Id::new(1), accepted_job(vec![step(1)]), at(0));
    orders(&mut scheduler, "h1", at(1));
    scheduler.disconnect("h1");
    scheduler.tick(at(7_000));
    scheduler.connect("h2");
    scheduler.update(&update("h2", 1), at(7_000));

    let again = orders(&mut scheduler, "h2", at(7_001)).starts;

    assert!(!again[0].is_probe);
}

/// Guards against a suspect that is placed among starts whose outcome is open.
#[test]
fn probe_waits_until_the_worker_has_outlived_other_starts() {
    let mut scheduler = owner(1, &["h1"]);
    scheduler.accept(Id::new(1), accepted_job(vec![step(1)]), at(0));
    let first = orders(&mut scheduler, "h1", at(1)).starts.remove(0);
    scheduler.accept(Id::new(2), accepted_job(vec![step(1)]), at(2));
    let beside = orders(&mut scheduler, "h1", at(3)).starts.remove(0);
    let mut restarted = update("h1", 2);
    restarted.applied = 9;
    restarted.crashes = vec![crash(WORKER_INCARNATION, &[&first])];
    restarted.runs.push(fresh(&beside));
    scheduler.update(&restarted, at(100));
    commit_changes(&mut scheduler, 20, at(200));
    let early = orders(&mut scheduler, "h1", at(201)).starts;
    let mut outlived = restarted.clone();
    outlived.number = 3;
    outlived.runs[0].has_survived_start = true;
    scheduler.update(&outlived, at(500));

    let late = orders(&mut scheduler, "h1", at(501)).starts;

    let tasks: Vec<Task> = late.iter().map(|start| start.task).collect();
    assert!(early.is_empty());
    assert_eq!(tasks, [first.task]);
}

/// Guards against a crash that isn't counted because an exit of the same process was refuted before.
#[rstest]
#[case::recorded_before(true)]
#[case::recorded_after(false)]
fn crash_after_a_refuted_exit_is_counted(#[case] is_recorded_before: bool) {
    let mut scheduler = owner(1, &["h1"]);
    scheduler.accept(Id::new(1), accepted_job(vec![step(1)]), at(0));
    let first = orders(&mut scheduler, "h1", at(1)).starts.remove(0);
    scheduler.update(&crashed("h1", 2, WORKER_INCARNATION, &[&first]), at(100));
    if is_recorded_before {
        commit_changes(&mut scheduler, 20, at(200));
    }
    scheduler.update(&update("h1", 3), at(250));
    commit_changes(&mut scheduler, 21, at(300));
    let second = orders(&mut scheduler, "h1", at(350));
    let probe = &second.starts[0];
    scheduler.update(&crashed("h1", 4, WORKER_INCARNATION, &[probe]), at(400));
    commit_changes(&mut scheduler, 22, at(500));

    let state = scheduler.job_state(Id::new(1));

    assert_eq!(state, Some(State::Failed));
    assert!(second.crashes_acknowledged < WORKER_INCARNATION);
}

/// Guards against a crash of a process that the owner takes for the exit that was refuted.
#[test]
fn refuted_exit_is_not_reported_as_a_crash() {
    let mut runner = runner_with_start();
    for millis in [10, 310, 620] {
        runner.record_refusal(at(millis));
    }
    let before = reported_crashes(&mut runner).len();
    let mut list = empty_list(at(700));
    list.running.push(listed(task(1, 0, 0), 7));
    runner.apply_list(list, at(710));

    let after = reported_crashes(&mut runner);

    assert_eq!(before, 1);
    assert_eq!(after, []);
}
