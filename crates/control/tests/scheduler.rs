//! Tests of the scheduler: placement, takeover, ended attempts, persistence and leases.

#[expect(dead_code, reason = "not every test uses all fixtures")]
mod graph;

use graph::{
    accepted_job, at, attempt_status, commit_changes, end, orders, owner, queue, step, task,
    update, worker,
};
use rstest::rstest;
use toucanquay_control::scheduler::{RestoredJob, Scheduler, Settings};
use toucanquay_model::{
    Resources, Time,
    graph::{Id, Progress, Schedule, State, Step},
    session::{Ending, Orders, Phase, Rejection, Start, Stop, Update, Worker},
};

/// Returns the scheduler of an owner that has taken over a job with one task and does not wait for
/// any host.
fn scheduler_after_takeover() -> Scheduler {
    let mut scheduler = Scheduler::new(Settings::default(), 3, [], at(0));
    scheduler.extend_ownership(at(10_000));
    let job = accepted_job(vec![step(1)]);
    scheduler.restore(Id::new(1), job, RestoredJob::default(), at(0));
    scheduler
}

/// Guards against starting a task elsewhere after a takeover while its previous attempt is still
/// stopping.
#[test]
fn task_that_is_being_stopped_is_not_started_elsewhere() {
    let mut scheduler = scheduler_after_takeover();
    let mut first = update("h1", 1);
    first
        .runs
        .push(attempt_status(task(1, 0, 0), 7, Phase::Stopping));
    scheduler.connect("h1");
    scheduler.update(&first, at(1));
    scheduler.connect("h2");
    scheduler.update(&update("h2", 1), at(1));

    let elsewhere = orders(&mut scheduler, "h2", at(2));

    assert!(elsewhere.starts.is_empty(), "{elsewhere:?}");
}

/// Guards against a task that is never restarted after its attempt was stopped.
#[test]
fn task_is_started_again_when_its_former_attempt_has_stopped() {
    let mut scheduler = scheduler_after_takeover();
    let mut stopping = update("h1", 1);
    stopping
        .runs
        .push(attempt_status(task(1, 0, 0), 7, Phase::Stopping));
    scheduler.connect("h1");
    scheduler.update(&stopping, at(1));
    let mut stopped = update("h1", 2);
    stopped.ends.push(end(1, task(1, 0, 0), 7, Ending::Stopped));
    scheduler.update(&stopped, at(100));

    let again = orders(&mut scheduler, "h1", at(200));

    assert_eq!(again.starts.len(), 1);
    assert!(again.starts[0].attempt > 7, "attempt numbers increase");
}

/// Guards against starting a step before all tasks of the preceding step are done.
#[test]
fn step_waits_for_all_tasks_of_the_step_before() {
    let mut scheduler = owner(1, &["h1"]);
    let second = Step {
        after: [0].into_iter().collect(),
        ..step(1)
    };
    scheduler.accept(Id::new(1), accepted_job(vec![step(2), second]), at(0));
    let first = orders(&mut scheduler, "h1", at(1));
    let mut one_done = update("h1", 2);
    one_done.applied = first.number;
    one_done.runs.push(attempt_status(
        task(1, 0, 1),
        first.starts[1].attempt,
        Phase::Running,
    ));
    one_done
        .ends
        .push(end(1, task(1, 0, 0), first.starts[0].attempt, Ending::Done));
    scheduler.update(&one_done, at(100));
    let between = orders(&mut scheduler, "h1", at(101));
    let mut both_done = update("h1", 3);
    both_done.applied = between.number;
    both_done
        .ends
        .push(end(2, task(1, 0, 1), first.starts[1].attempt, Ending::Done));
    scheduler.update(&both_done, at(200));

    let after = orders(&mut scheduler, "h1", at(201));

    assert_eq!(first.starts.len(), 2);
    assert!(between.starts.is_empty());
    assert_eq!(after.starts[0].task, task(1, 1, 0));
}

/// Guards against acknowledging an end, and showing its job as done, before the end is recorded.
#[test]
fn end_is_acknowledged_and_shown_when_it_is_recorded() {
    let mut scheduler = owner(1, &["h1"]);
    scheduler.accept(Id::new(1), accepted_job(vec![step(1)]), at(0));
    let started = orders(&mut scheduler, "h1", at(1));
    let mut done = update("h1", 2);
    done.applied = started.number;
    done.ends.push(end(
        1,
        task(1, 0, 0),
        started.starts[0].attempt,
        Ending::Done,
    ));
    scheduler.update(&done, at(100));

    let before = (
        orders(&mut scheduler, "h1", at(101)).acknowledged,
        scheduler.job_state(Id::new(1)),
    );
    commit_changes(&mut scheduler, 9, at(200));
    let after = (
        orders(&mut scheduler, "h1", at(201)).acknowledged,
        scheduler.job_state(Id::new(1)),
    );

    assert_eq!(before, (0, Some(State::Running)));
    assert_eq!(after, (1, Some(State::Done)));
}

/// Guards against starting a task a second time while a disconnected host may still be running the
/// first attempt.
#[rstest]
#[case::while_the_lease_lasts(6_000, 0)]
#[case::after_the_lease(6_500, 1)]
fn task_of_a_silent_host_waits_for_the_end_of_the_lease(
    #[case] millis: u64,
    #[case] starts: usize,
) {
    let mut scheduler = owner(1, &["h1"]);
    scheduler.accept(Id::new(1), accepted_job(vec![step(1)]), at(0));
    let started = orders(&mut scheduler, "h1", at(1));
    scheduler.disconnect("h1");
    scheduler.connect("h2");
    scheduler.update(&update("h2", 1), at(2));

    let elsewhere = orders(&mut scheduler, "h2", at(millis));

    assert_eq!(started.starts.len(), 1);
    assert_eq!(elsewhere.starts.len(), starts);
}

/// Returns an update from a host whose worker leaves its agent's calls unanswered.
fn silent_update(host: &str, number: u64) -> Update {
    Update {
        worker: None,
        is_worker_silent: true,
        ..update(host, number)
    }
}

/// Returns a scheduler with one task, on `h1`, whose worker falls silent while another host is free,
/// and the number of the task's attempt.
fn scheduler_with_a_silent_worker() -> (Scheduler, u64) {
    let mut scheduler = owner(1, &["h1"]);
    scheduler.accept(Id::new(1), accepted_job(vec![step(1)]), at(0));
    let started = orders(&mut scheduler, "h1", at(1));
    scheduler.connect("h2");
    scheduler.update(&update("h2", 1), at(2));
    scheduler.update(&silent_update("h1", 2), at(3_000));
    (scheduler, started.starts[0].attempt)
}

/// Guards against tasks of a worker that is lost without a sign and that are never started again,
/// since its agent lives on, and against starting them while the worker may still run them.
#[rstest]
#[case::while_the_lease_lasts(6_000, 0)]
#[case::after_the_lease(6_500, 1)]
fn task_of_a_silent_worker_waits_for_the_end_of_the_lease(
    #[case] millis: u64,
    #[case] starts: usize,
) {
    let (mut scheduler, _attempt) = scheduler_with_a_silent_worker();
    scheduler.update(&silent_update("h1", 3), at(5_900));

    let elsewhere = orders(&mut scheduler, "h2", at(millis));

    assert_eq!(elsewhere.starts.len(), starts);
}

/// Guards against orders that extend the lease of a silent worker, on which its tasks then run when
/// they are started elsewhere.
#[test]
fn orders_to_a_silent_worker_extend_no_lease() {
    let (mut scheduler, _attempt) = scheduler_with_a_silent_worker();

    let renewal = orders(&mut scheduler, "h1", at(3_100));

    assert_eq!(renewal.stamp, Time::ZERO);
}

/// Guards against a worker that was frozen for less than its lease and loses its tasks.
#[test]
fn task_of_a_worker_that_is_heard_again_within_its_lease_runs_on() {
    let (mut scheduler, attempt) = scheduler_with_a_silent_worker();
    let mut heard = update("h1", 3);
    let running = attempt_status(task(1, 0, 0), attempt, Phase::Running);
    heard.runs.push(running);
    scheduler.update(&heard, at(6_000));

    let elsewhere = orders(&mut scheduler, "h2", at(8_000));
    let renewal = orders(&mut scheduler, "h1", at(8_001));

    assert!(elsewhere.starts.is_empty(), "{elsewhere:?}");
    assert!(renewal.stops.is_empty(), "{renewal:?}");
    assert_eq!(renewal.stamp, heard.stamp);
}

/// Guards against a worker that was given up and isn't used any more when it is heard again.
#[test]
fn worker_that_is_heard_again_after_its_lease_is_used_again() {
    let (mut scheduler, attempt) = scheduler_with_a_silent_worker();
    let moved = orders(&mut scheduler, "h2", at(7_000));
    scheduler.accept(Id::new(2), accepted_job(vec![step(8)]), at(7_000));
    let mut heard = update("h1", 3);
    let lapsed = end(1, task(1, 0, 0), attempt, Ending::Expired);
    heard.ends.push(lapsed);
    scheduler.update(&heard, at(9_000));

    let again = orders(&mut scheduler, "h1", at(9_001));

    assert_eq!(moved.starts.len(), 1);
    let is_second_job = |start: &Start| start.task.job == Id::new(2);
    assert!(!again.starts.is_empty(), "the worker isn't used");
    assert!(again.starts.iter().all(is_second_job), "{again:?}");
}

/// Guards against waiting for the lease of a worker that was silent and is known to have exited.
#[test]
fn task_of_a_silent_worker_that_has_exited_is_started_at_once() {
    let (mut scheduler, _attempt) = scheduler_with_a_silent_worker();
    let exited = Update {
        worker: None,
        ..update("h1", 3)
    };
    scheduler.update(&exited, at(3_500));

    let elsewhere = orders(&mut scheduler, "h2", at(3_501));

    assert_eq!(elsewhere.starts.len(), 1);
}

/// Guards against a start that a silent worker's agent has rejected and that waits for the lease.
#[test]
fn rejection_of_a_silent_workers_agent_takes_effect() {
    let (mut scheduler, attempt) = scheduler_with_a_silent_worker();
    let mut rejecting = silent_update("h1", 3);
    let rejected = Phase::Rejected(Rejection::Refused);
    rejecting
        .runs
        .push(attempt_status(task(1, 0, 0), attempt, rejected));
    scheduler.update(&rejecting, at(3_100));

    let elsewhere = orders(&mut scheduler, "h2", at(3_200));

    assert_eq!(elsewhere.starts.len(), 1);
}

/// Guards against waiting for the lease of a worker that is known to have restarted.
#[test]
fn task_of_a_restarted_worker_is_started_at_once() {
    let mut scheduler = owner(1, &["h1"]);
    scheduler.accept(Id::new(1), accepted_job(vec![step(1)]), at(0));
    let started = orders(&mut scheduler, "h1", at(1));
    let mut restarted = update("h1", 2);
    restarted.applied = started.number;
    restarted.worker = Some(toucanquay_model::session::Worker {
        incarnation: graph::WORKER_INCARNATION + 1,
        ..worker()
    });
    scheduler.update(&restarted, at(50));

    let again = orders(&mut scheduler, "h1", at(51));

    assert_eq!(again.starts.len(), 1);
}

/// Guards against a delayed start that an agent sent before its restart. The task may start
/// elsewhere only after a stop of that attempt has been answered.
#[test]
fn start_of_a_former_process_is_resolved_by_a_stop() {
    let mut scheduler = owner(1, &["h1", "h2"]);
    scheduler.accept(Id::new(1), accepted_job(vec![step(1)]), at(0));
    let started = ["h1", "h2"].map(|host| orders(&mut scheduler, host, at(1)));
    let placed = started
        .iter()
        .position(|orders| !orders.starts.is_empty())
        .expect("one host has a start");
    let name = ["h1", "h2"][placed];
    let attempt = started[placed].starts[0].attempt;
    scheduler.disconnect(name);
    scheduler.connect(name);
    // A restarted agent sends an update before its worker has announced itself.
    let mut successor = update(name, 1);
    successor.process = 2;
    successor.worker = None;
    successor.is_settled = false;
    scheduler.update(&successor, at(400));
    successor.number = 2;
    successor.worker = Some(worker());
    successor.is_settled = true;
    scheduler.update(&successor, at(500));
    let resolving = ["h1", "h2"].map(|host| orders(&mut scheduler, host, at(501)));
    let mut resolved = update(name, 3);
    resolved.process = 2;
    resolved.applied = resolving[placed].number;
    let rejected = attempt_status(task(1, 0, 0), attempt, Phase::Rejected(Rejection::Stopped));
    resolved.runs.push(rejected);
    scheduler.update(&resolved, at(600));

    let after = ["h1", "h2"].map(|host| orders(&mut scheduler, host, at(601)));

    assert_eq!(resolving[placed].stops[0].attempt, attempt);
    assert!(resolving.iter().all(|orders| orders.starts.is_empty()));
    assert_eq!(
        after
            .iter()
            .map(|orders| orders.starts.len())
            .sum::<usize>(),
        1
    );
}

/// Guards against an agent that neither counts nor paces the attempts that it finds after its
/// restart, because the owner describes an attempt only when it starts or adopts it.
#[test]
fn restarted_agent_learns_the_profiles_of_its_attempts() {
    let mut scheduler = owner(1, &["h1"]);
    scheduler.accept(Id::new(1), accepted_job(vec![step(1)]), at(0));
    let start = orders(&mut scheduler, "h1", at(1)).starts.remove(0);
    scheduler.disconnect("h1");
    scheduler.connect("h1");
    let mut successor = update("h1", 1);
    successor.process = 2;
    let running = attempt_status(start.task, start.attempt, Phase::Running);
    successor.runs.push(running);
    scheduler.update(&successor, at(500));

    let profiles = orders(&mut scheduler, "h1", at(501)).profiles;

    let attempt = Stop {
        task: start.task,
        attempt: start.attempt,
    };
    assert_eq!(profiles, [(attempt, start.profile)]);
}

/// Guards against a task that is started again and again on a worker that has no time for it.
#[test]
fn start_that_a_worker_refused_is_tried_elsewhere() {
    let hosts = ["h1", "h2"];
    let mut scheduler = owner(1, &hosts);
    scheduler.accept(Id::new(1), accepted_job(vec![step(1)]), at(0));
    let first = hosts.map(|host| orders(&mut scheduler, host, at(1)));
    let refusing = usize::from(first[0].starts.is_empty());
    let start = &first[refusing].starts[0];
    let mut refused = update(hosts[refusing], 2);
    refused.applied = first[refusing].number;
    let rejected = Phase::Rejected(Rejection::Refused);
    refused
        .runs
        .push(attempt_status(start.task, start.attempt, rejected));
    scheduler.update(&refused, at(10));

    let second = hosts.map(|host| orders(&mut scheduler, host, at(100)).starts.len());

    assert_eq!((second[refusing], second[1 - refusing]), (0, 1));
}

/// Guards against profiles that were lost with a session that broke before it delivered them.
#[test]
fn profiles_are_sent_again_in_the_next_session() {
    let mut scheduler = owner(1, &["h1"]);
    scheduler.accept(Id::new(1), accepted_job(vec![step(1)]), at(0));
    let start = orders(&mut scheduler, "h1", at(1)).starts.remove(0);
    let mut successor = update("h1", 1);
    successor.process = 2;
    let running = attempt_status(start.task, start.attempt, Phase::Running);
    successor.runs.push(running);
    for _session in 0..2 {
        scheduler.disconnect("h1");
        scheduler.connect("h1");
        successor.number += 1;
        scheduler.update(&successor, at(500));
    }

    let profiles = orders(&mut scheduler, "h1", at(501)).profiles;

    assert_eq!(profiles.len(), 1);
}

/// Guards against a new owner that restarts tasks before all hosts have reported.
#[rstest]
#[case::before_the_host_is_heard(100, 0)]
#[case::after_the_longest_lease(6_500, 1)]
fn older_jobs_wait_for_hosts_that_may_run_them(#[case] millis: u64, #[case] starts: usize) {
    let hosts = ["h1".to_owned(), "h2".to_owned()];
    let mut scheduler = Scheduler::new(Settings::default(), 2, hosts, at(0));
    scheduler.extend_ownership(at(100_000));
    scheduler.restore(
        Id::new(1),
        accepted_job(vec![step(1)]),
        RestoredJob::default(),
        at(0),
    );
    scheduler.connect("h1");
    scheduler.update(&update("h1", 1), at(1));

    let started = orders(&mut scheduler, "h1", at(millis));

    assert_eq!(started.starts.len(), starts);
}

/// Guards against delaying jobs that no former owner can have started.
#[test]
fn new_jobs_do_not_wait_for_a_takeover() {
    let mut scheduler = Scheduler::new(Settings::default(), 2, ["h2".to_owned()], at(0));
    scheduler.extend_ownership(at(100_000));
    scheduler.connect("h1");
    scheduler.update(&update("h1", 1), at(1));
    scheduler.accept(Id::new(1), accepted_job(vec![step(1)]), at(2));

    let started = orders(&mut scheduler, "h1", at(3));

    assert_eq!(started.starts.len(), 1);
}

/// Guards against orders from an owner whose ownership has ended.
#[test]
fn no_order_is_given_without_authority() {
    let mut scheduler = owner(1, &["h1"]);
    scheduler.extend_ownership(at(10));
    scheduler.accept(Id::new(1), accepted_job(vec![step(1)]), at(0));
    scheduler.tick(at(10));

    let orders = scheduler.orders("h1", at(10));

    assert_eq!(orders, None);
}

/// Guards against assigning more tasks to a worker than its capacity allows.
#[test]
fn tasks_beyond_the_capacity_wait() {
    let mut scheduler = owner(1, &["h1"]);
    scheduler.accept(Id::new(1), accepted_job(vec![step(20)]), at(0));

    let started = orders(&mut scheduler, "h1", at(1));

    assert_eq!(
        started.starts.len(),
        8,
        "16 processors fit 8 tasks of 2 processors"
    );
}

/// Guards against more attempts than the queue allows.
#[test]
fn job_fails_after_its_last_attempt() {
    let mut scheduler = owner(1, &["h1"]);
    scheduler.accept(Id::new(1), accepted_job(vec![step(1)]), at(0));
    for number in 1..=u64::from(queue().attempts_max) {
        let now = at(number * 1_000);
        let started = orders(&mut scheduler, "h1", now);
        let mut failed = update("h1", number + 1);
        failed.applied = started.number;
        failed.ends.push(end(
            number,
            task(1, 0, 0),
            started.starts[0].attempt,
            Ending::Failed,
        ));
        scheduler.update(&failed, now);
    }
    commit_changes(&mut scheduler, 5, at(5_000));

    let after = orders(&mut scheduler, "h1", at(5_001));

    assert_eq!(scheduler.job_state(Id::new(1)), Some(State::Failed));
    assert!(after.starts.is_empty());
}

/// Guards against a task of a cancelled job that keeps running or is started.
#[test]
fn cancelled_job_is_stopped() {
    let mut scheduler = owner(1, &["h1"]);
    scheduler.accept(Id::new(1), accepted_job(vec![step(10)]), at(0));
    let started = orders(&mut scheduler, "h1", at(1));
    scheduler.cancel(Id::new(1), at(2));

    let after = orders(&mut scheduler, "h1", at(3));

    assert_eq!(after.stops.len(), started.starts.len());
    assert!(after.starts.is_empty());
    assert_eq!(scheduler.job_state(Id::new(1)), Some(State::Cancelled));
}

/// Guards against losing a cancellation that arrives before its job.
#[test]
fn cancellation_before_its_job_is_applied() {
    let mut scheduler = owner(1, &["h1"]);
    scheduler.cancel(Id::new(1), at(0));
    scheduler.accept(Id::new(1), accepted_job(vec![step(1)]), at(1));

    let orders = orders(&mut scheduler, "h1", at(2));

    assert!(orders.starts.is_empty());
}

/// Guards against a cancelling of a job that never arrived and that cancels a job submitted long
/// after, without a word to its client.
#[test]
fn cancellation_without_its_job_spares_one_submitted_long_after() {
    let mut scheduler = owner(1, &["h1"]);
    scheduler.cancel(Id::new(1), at(0));
    let later_ms = Settings::default().retention_micros / 1_000 + 10_000;
    scheduler.extend_ownership(at(2 * later_ms));
    scheduler.tick(at(later_ms));

    scheduler.accept(Id::new(1), accepted_job(vec![step(1)]), at(later_ms));
    let state = scheduler.job_state(Id::new(1));

    assert_eq!(state, Some(State::Queued));
}

/// Guards against placing tasks on a draining worker, and against leaving perpetual tasks on it
/// until it ends.
#[test]
fn draining_worker_gets_no_tasks_and_stops_perpetual_ones() {
    let mut scheduler = owner(1, &["h1"]);
    let perpetual = Step {
        is_perpetual: true,
        ..step(1)
    };
    scheduler.accept(Id::new(1), accepted_job(vec![perpetual]), at(0));
    let started = orders(&mut scheduler, "h1", at(1));
    let mut draining = update("h1", 2);
    draining.applied = started.number;
    draining.worker = Some(toucanquay_model::session::Worker {
        is_draining: true,
        ..worker()
    });
    draining.runs.push(attempt_status(
        task(1, 0, 0),
        started.starts[0].attempt,
        Phase::Running,
    ));
    scheduler.update(&draining, at(100));
    scheduler.accept(Id::new(2), accepted_job(vec![step(1)]), at(101));

    let after = orders(&mut scheduler, "h1", at(102));

    assert_eq!(after.stops.len(), 1);
    assert!(after.starts.is_empty());
}

/// Guards against occurrences that start too early or never.
#[test]
fn occurrences_begin_at_their_times() {
    let mut scheduler = owner(1, &["h1"]);
    let mut job = accepted_job(vec![step(1)]);
    job.job.schedule = Some(Schedule {
        occurrences: 2,
        first_unix_ms: 5_001_000,
        interval_ms: 1_000,
    });
    scheduler.accept(Id::new(1), job, at(0));

    let counts = [500, 1_010, 1_900, 2_010].map(|millis| {
        let orders = orders(&mut scheduler, "h1", at(millis));
        orders
            .starts
            .iter()
            .map(|start| start.task.occurrence)
            .collect::<Vec<_>>()
    });

    assert_eq!(counts, [vec![], vec![0], vec![], vec![1]]);
}

/// Guards against exceeding a step's limit of tasks per worker, and against ignoring its required
/// label.
#[rstest]
#[case::limit(Step { per_worker_max: Some(2), ..step(5) }, 2)]
#[case::label(Step { requires: Some("b".to_owned()), ..step(5) }, 0)]
#[case::present_label(Step { requires: Some("a".to_owned()), ..step(5) }, 5)]
fn constraints_of_a_step_hold(#[case] step: Step, #[case] starts: usize) {
    let mut scheduler = owner(1, &["h1"]);
    scheduler.accept(Id::new(1), accepted_job(vec![step]), at(0));

    let orders = orders(&mut scheduler, "h1", at(1));

    assert_eq!(orders.starts.len(), starts);
}

/// Guards against starting only a part of a gang.
#[rstest]
#[case::fits(8, 8)]
#[case::does_not_fit(9, 0)]
fn gang_starts_as_a_whole_under_one_attempt(#[case] tasks: u32, #[case] starts: usize) {
    let mut scheduler = owner(1, &["h1"]);
    let gang = Step {
        is_gang: true,
        ..step(tasks)
    };
    scheduler.accept(Id::new(1), accepted_job(vec![gang]), at(0));

    let orders = orders(&mut scheduler, "h1", at(1));

    assert_eq!(orders.starts.len(), starts);
    let mut attempts: Vec<u64> = orders.starts.iter().map(|start| start.attempt).collect();
    attempts.dedup();
    assert!(attempts.len() <= 1);
}

/// Guards against a new owner that repeats recorded work.
#[test]
fn restored_progress_is_kept() {
    let mut first = owner(1, &["h1"]);
    first.accept(Id::new(1), accepted_job(vec![step(2)]), at(0));
    let started = orders(&mut first, "h1", at(1));
    let mut done = update("h1", 2);
    done.applied = started.number;
    done.ends.push(end(
        1,
        task(1, 0, 0),
        started.starts[0].attempt,
        Ending::Done,
    ));
    first.update(&done, at(100));
    let commit = first
        .next_commit(at(200))
        .expect("there is a change to record");
    let text = serde_json::to_string(&commit.records[0].2).expect("progress is serializable");
    let progress: Progress = serde_json::from_str(&text).expect("the serialized progress is valid");
    let restored = RestoredJob {
        progress,
        revision: 9,
    };
    let mut second = owner(2, &["h1"]);
    second.restore(Id::new(1), accepted_job(vec![step(2)]), restored, at(300));

    let again = orders(&mut second, "h1", at(301));

    assert_eq!(again.starts.len(), 1);
    assert_eq!(again.starts[0].task, task(1, 0, 1));
}

/// Guards against losing a commit that the store rejected because of a revision conflict.
#[test]
fn refused_commit_is_repeated_with_the_present_revision() {
    let mut scheduler = owner(1, &["h1"]);
    scheduler.accept(Id::new(1), accepted_job(vec![step(1)]), at(0));
    scheduler.cancel(Id::new(1), at(1));
    let first = scheduler
        .next_commit(at(2))
        .expect("there is a change to record");
    scheduler.commit_rejected(&[(Id::new(1), 7)]);

    let second = scheduler
        .next_commit(at(1_000))
        .expect("the change is still to be recorded");

    assert_eq!(first.records[0].1, 0);
    assert_eq!(second.records[0].1, 7);
    assert_eq!(first.records[0].2, second.records[0].2);
}

/// Guards against placing further tasks on a worker on which several jobs have failed.
#[test]
fn worker_that_fails_several_jobs_is_avoided() {
    let mut scheduler = owner(1, &["h1", "h2"]);
    let mut ends = 0;
    let mut bad = update("h1", 1);
    for job in 1..=3 {
        scheduler.accept(Id::new(job), accepted_job(vec![step(1)]), at(job));
        ends += 1;
        bad.ends.push(end(ends, task(job, 0, 0), 1, Ending::Failed));
    }
    bad.number = 2;
    scheduler.update(&bad, at(10));

    let counts = ["h1", "h2"].map(|host| orders(&mut scheduler, host, at(11)).starts.len());

    assert_eq!(counts, [0, 3]);
}

/// Guards against a stop that is lost when its session breaks, so that the task of a cancelled job
/// keeps running.
#[test]
fn stop_is_ordered_again_in_the_next_session() {
    let mut scheduler = owner(1, &["h1"]);
    scheduler.accept(Id::new(1), accepted_job(vec![step(1)]), at(0));
    let started = orders(&mut scheduler, "h1", at(1));
    scheduler.cancel(Id::new(1), at(2));
    let lost = orders(&mut scheduler, "h1", at(3));
    scheduler.disconnect("h1");
    scheduler.connect("h1");
    let mut running = update("h1", 2);
    running.runs.push(attempt_status(
        task(1, 0, 0),
        started.starts[0].attempt,
        Phase::Running,
    ));
    scheduler.update(&running, at(500));

    let again = orders(&mut scheduler, "h1", at(501));

    assert_eq!(lost.stops.len(), 1);
    assert_eq!(again.stops, lost.stops);
}

/// Guards against counting a failed attempt twice. A worker reports an end again to a new owner if
/// the end was recorded but not yet acknowledged.
#[test]
fn failed_attempt_counts_once() {
    let mut first = owner(1, &["h1"]);
    first.accept(Id::new(1), accepted_job(vec![step(1)]), at(0));
    let started = orders(&mut first, "h1", at(1));
    let mut failed = update("h1", 2);
    failed.applied = started.number;
    let attempt = started.starts[0].attempt;
    failed
        .ends
        .push(end(1, task(1, 0, 0), attempt, Ending::Failed));
    first.update(&failed, at(100));
    let commit = first
        .next_commit(at(200))
        .expect("there is a change to record");
    let text = serde_json::to_string(&commit.records[0].2).expect("progress is serializable");
    let restored = RestoredJob {
        progress: serde_json::from_str(&text).expect("the serialized progress is valid"),
        revision: 9,
    };
    let mut second = owner(2, &["h1"]);
    second.restore(Id::new(1), accepted_job(vec![step(1)]), restored, at(300));
    failed.number = 3;
    second.update(&failed, at(301));

    let again = orders(&mut second, "h1", at(302));

    assert_eq!(second.job_state(Id::new(1)), Some(State::Running));
    assert_eq!(again.starts.len(), 1);
}

/// Guards against tasks that wait for the return of a worker that ended together with its agent.
#[rstest]
#[case::while_the_lease_lasts(6_000, 0)]
#[case::after_the_lease(6_900, 1)]
fn task_of_a_worker_that_ended_with_its_agent_is_started_elsewhere(
    #[case] millis: u64,
    #[case] starts: usize,
) {
    let mut scheduler = owner(1, &["h1"]);
    scheduler.accept(Id::new(1), accepted_job(vec![step(1)]), at(0));
    let started = orders(&mut scheduler, "h1", at(1));
    scheduler.connect("h2");
    scheduler.update(&update("h2", 1), at(1));
    scheduler.disconnect("h1");
    scheduler.connect("h1");
    let mut successor = update("h1", 1);
    successor.process = 2;
    successor.worker = None;
    successor.is_settled = false;
    let mut elsewhere = 0;
    let mut lease_begins = Vec::new();
    for now in (400..=millis).step_by(100).map(at) {
        scheduler.update(&successor, now);
        successor.number += 1;
        successor.stamp = now;
        lease_begins.push(orders(&mut scheduler, "h1", now).stamp);
        elsewhere += orders(&mut scheduler, "h2", now).starts.len();
    }

    assert_eq!(started.starts.len(), 1);
    assert_eq!(elsewhere, starts);
    assert!(lease_begins.iter().all(|begin| *begin == Time::ZERO));
}

/// Guards against running a job a second time that is read from the store again because its removal
/// failed.
#[test]
fn expired_job_that_is_still_stored_is_not_run_again() {
    let mut scheduler = owner(1, &["h1"]);
    let job = accepted_job(vec![step(1)]);
    scheduler.accept(Id::new(1), job.clone(), at(0));
    let started = orders(&mut scheduler, "h1", at(1));
    let attempt = started.starts[0].attempt;
    let mut done = update("h1", 2);
    done.applied = started.number;
    done.ends.push(end(1, task(1, 0, 0), attempt, Ending::Done));
    scheduler.update(&done, at(100));
    commit_changes(&mut scheduler, 9, at(200));
    scheduler.tick(at(200_000));
    let expired = scheduler.take_expired_jobs();
    scheduler.accept(Id::new(1), job, at(200_001));

    let again = orders(&mut scheduler, "h1", at(200_002));

    assert_eq!(expired, [Id::new(1)]);
    assert!(again.starts.is_empty(), "{again:?}");
}

/// Guards against an owner that ends because a worker announces an absurd remaining time.
#[test]
fn absurd_remaining_time_of_a_draining_worker_is_handled() {
    let mut scheduler = owner(1, &["h1"]);
    let checkpointed = Step {
        has_checkpoints: true,
        ..step(1)
    };
    scheduler.accept(Id::new(1), accepted_job(vec![checkpointed]), at(0));
    let started = orders(&mut scheduler, "h1", at(1));
    let mut running = update("h1", 2);
    running.applied = started.number;
    let attempt = started.starts[0].attempt;
    let status = attempt_status(task(1, 0, 0), attempt, Phase::Running);
    running.runs.push(status);
    scheduler.update(&running, at(50));
    let mut draining = running;
    draining.number = 3;
    draining.worker = Some(Worker {
        is_draining: true,
        remaining_ms: Some(u64::MAX),
        ..worker()
    });
    scheduler.update(&draining, at(100));

    let after = orders(&mut scheduler, "h1", at(101));

    assert!(after.stops.is_empty(), "the task ends in time: {after:?}");
}

/// Guards against an owner that ends, or mistakes a long job for a short one, because of absurd
/// estimates.
#[test]
fn absurd_estimates_of_a_job_are_handled() {
    let mut scheduler = owner(1, &["h1"]);
    let first = Step {
        estimate_ms: u64::MAX,
        ..step(1)
    };
    let second = Step {
        after: [0].into_iter().collect(),
        ..first.clone()
    };
    scheduler.accept(Id::new(1), accepted_job(vec![first, second]), at(0));

    let started = orders(&mut scheduler, "h1", at(1));

    assert_eq!(started.starts.len(), 1);
}

/// Guards against a task that runs twice: the stop that resolves a former process's start was lost
/// with a session, and the attempt must not be released before it is answered.
#[rstest]
#[case::same_process(2)]
#[case::next_process(3)]
fn resolving_stop_is_ordered_again_in_the_next_session(#[case] next_process: u64) {
    let mut scheduler = owner(1, &["h1", "h2"]);
    scheduler.accept(Id::new(1), accepted_job(vec![step(1)]), at(0));
    let started = ["h1", "h2"].map(|host| orders(&mut scheduler, host, at(1)));
    let placed = started
        .iter()
        .position(|orders| !orders.starts.is_empty())
        .expect("one host has a start");
    let name = ["h1", "h2"][placed];
    let attempt = started[placed].starts[0].attempt;
    let mut successor = update(name, 1);
    for (process, millis) in [(2, 400), (next_process, 500)] {
        scheduler.disconnect(name);
        scheduler.connect(name);
        successor.process = process;
        successor.number += 1;
        scheduler.update(&successor, at(millis));
    }

    let resolving = ["h1", "h2"].map(|host| orders(&mut scheduler, host, at(501)));

    assert!(resolving.iter().all(|orders| orders.starts.is_empty()));
    assert_eq!(resolving[placed].stops.len(), 1);
    assert_eq!(resolving[placed].stops[0].attempt, attempt);
}

/// Guards against the same loss after the orders were sent but before the agent applied them.
#[test]
fn resolving_stop_that_was_sent_but_not_applied_is_ordered_again() {
    let mut scheduler = owner(1, &["h1", "h2"]);
    scheduler.accept(Id::new(1), accepted_job(vec![step(1)]), at(0));
    let started = ["h1", "h2"].map(|host| orders(&mut scheduler, host, at(1)));
    let placed = started
        .iter()
        .position(|orders| !orders.starts.is_empty())
        .expect("one host has a start");
    let name = ["h1", "h2"][placed];
    let mut successor = update(name, 1);
    successor.process = 2;
    for millis in [400, 500] {
        scheduler.disconnect(name);
        scheduler.connect(name);
        successor.number += 1;
        scheduler.update(&successor, at(millis));
        if millis == 400 {
            orders(&mut scheduler, name, at(401));
        }
    }

    let resolving = ["h1", "h2"].map(|host| orders(&mut scheduler, host, at(501)));

    assert!(resolving.iter().all(|orders| orders.starts.is_empty()));
}

/// Size of a large payload, in bytes.
const PAYLOAD_BYTES: usize = 4_000;

/// Returns the scheduler of an owner with one host and this many jobs, each with one small task and
/// a large payload.
fn scheduler_with_a_backlog(jobs: u64) -> Scheduler {
    let mut scheduler = owner(1, &["h1"]);
    for id in 1..=jobs {
        let mut job = accepted_job(vec![Step {
            demand: Resources {
                processors_milli: 10,
                ..Resources::ZERO
            },
            ..step(1)
        }]);
        job.job.payload = "x".repeat(PAYLOAD_BYTES);
        scheduler.accept(Id::new(id), job, at(0));
    }
    scheduler
}

/// Returns all orders for a host that are due at a time.
fn due_orders(scheduler: &mut Scheduler, host: &str, now: Time) -> Vec<Orders> {
    let mut messages = vec![orders(scheduler, host, now)];
    while scheduler.due_hosts(now).iter().any(|due| due == host) {
        messages.push(orders(scheduler, host, now));
    }
    messages
}

/// Guards against a backlog that never starts, because the orders for it are longer than a frame and
/// are placed in the same way again.
#[rstest]
#[case::few(10, 1)]
#[case::more_than_a_message(100, 2)]
#[case::more_than_a_frame(1_000, 16)]
fn starts_of_a_backlog_are_split(#[case] jobs: u64, #[case] messages_min: usize) {
    let mut scheduler = scheduler_with_a_backlog(jobs);

    let messages = due_orders(&mut scheduler, "h1", at(1));

    let payload_bytes = |orders: &Orders| orders.starts.len() * PAYLOAD_BYTES;
    let largest = messages.iter().map(payload_bytes).max();
    let started: usize = messages.iter().map(|orders| orders.starts.len()).sum();
    assert_eq!(started as u64, jobs);
    assert!(
        messages.len() >= messages_min,
        "{} messages",
        messages.len()
    );
    assert!(largest <= Some(256 * 1024), "{largest:?} bytes");
}

/// Guards against a start that waits for a later message and is taken for one that was lost.
#[test]
fn start_of_a_later_message_is_not_released() {
    let mut scheduler = scheduler_with_a_backlog(100);
    let first = orders(&mut scheduler, "h1", at(1));
    let mut applied = update("h1", 2);
    applied.applied = first.number;
    for start in &first.starts {
        let status = attempt_status(start.task, start.attempt, Phase::Running);
        applied.runs.push(status);
    }
    scheduler.update(&applied, at(2));

    let second = orders(&mut scheduler, "h1", at(3));

    assert_eq!(first.starts.len() + second.starts.len(), 100);
    let numbers = |orders: &Orders| -> Vec<u64> {
        let starts = orders.starts.iter();
        starts.map(|start| start.attempt).collect()
    };
    let last = numbers(&first).into_iter().max();
    assert!(numbers(&second).into_iter().min() > last, "{second:?}");
}

/// Guards against a cancelled task that is started, because its stop was sent before its start.
#[test]
fn stop_is_not_sent_before_its_start() {
    let mut scheduler = scheduler_with_a_backlog(100);
    let first = orders(&mut scheduler, "h1", at(1));
    for id in 1..=100 {
        scheduler.cancel(Id::new(id), at(2));
    }

    let second = orders(&mut scheduler, "h1", at(3));
    let third = orders(&mut scheduler, "h1", at(4));

    let sent = |orders: &Orders| {
        orders
            .starts
            .iter()
            .map(|start| start.task)
            .collect::<Vec<_>>()
    };
    let mut started = sent(&first);
    for orders in [&second, &third] {
        started.extend(sent(orders));
        let mut stops = orders.stops.iter();
        assert!(stops.all(|stop| started.contains(&stop.task)), "{orders:?}");
    }
    assert_eq!(second.stops.len() + third.stops.len(), 100);
}
