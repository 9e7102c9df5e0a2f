//! Tests of perpetual tasks: each runs again soon after it has stopped, wherever there is room.

#[expect(dead_code, reason = "the fixtures are shared with other tests")]
mod graph;

use graph::{
    accepted_job, at, attempt_status, cores, empty_list, end, heartbeat, listed, orders, owner,
    step, task, update, worker,
};
use rstest::rstest;
use toucanquay_control::{
    runner::{Action, CallOutcome, Runner},
    scheduler::Scheduler,
};
use toucanquay_model::{
    Resources,
    graph::{Id, Step},
    session::{Ending, Orders, Phase, Rejection, Start, Update, Worker},
};

/// Returns a step of perpetual tasks with two processors each.
fn perpetual(tasks: u32) -> Step {
    Step {
        is_perpetual: true,
        ..step(tasks)
    }
}

/// Returns the position of the only host that gets a start, with the start.
fn placed(scheduler: &mut Scheduler, hosts: &[&str], millis: u64) -> Option<(usize, Start)> {
    let mut starts = hosts.iter().enumerate().filter_map(|(index, host)| {
        let start = orders(scheduler, host, at(millis)).starts.pop()?;
        Some((index, start))
    });
    starts.next()
}

/// Guards against a task that is placed again and again on hosts that reject it, while another one
/// has room.
#[rstest]
fn rejecting_hosts_do_not_keep_a_task_from_another_host(
    #[values(
        Rejection::Draining,
        Rejection::OtherLife,
        Rejection::NoRoom,
        Rejection::SameTask,
        Rejection::LeaseOver,
        Rejection::Refused,
        Rejection::Stopped
    )]
    reason: Rejection,
    #[values(1, 2)] rejecting: usize,
) {
    let hosts = ["h1", "h2", "h3"];
    let mut scheduler = owner(1, &hosts);
    scheduler.accept(Id::new(1), accepted_job(vec![perpetual(1)]), at(0));
    let mut refusals = Vec::new();
    for number in 2..100 {
        let millis = number * 10;
        let Some((host, start)) = placed(&mut scheduler, &hosts, millis) else {
            continue;
        };
        if !refusals.contains(&host) && refusals.len() == rejecting {
            return;
        }
        if !refusals.contains(&host) {
            refusals.push(host);
        }
        let phase = Phase::Rejected(reason);
        let report = Update {
            applied: u64::MAX,
            runs: vec![attempt_status(start.task, start.attempt, phase)],
            ..update(hosts[host], number)
        };
        scheduler.update(&report, at(millis + 5));
    }
    panic!("only {refusals:?} got starts within a second");
}

/// Guards against a rejected task that never returns to the only host that fits.
#[test]
fn task_returns_to_the_only_host_that_fits() {
    let mut scheduler = owner(1, &["h1"]);
    scheduler.accept(Id::new(1), accepted_job(vec![perpetual(1)]), at(0));
    let start = orders(&mut scheduler, "h1", at(1)).starts.remove(0);
    let phase = Phase::Rejected(Rejection::NoRoom);
    let report = Update {
        applied: u64::MAX,
        runs: vec![attempt_status(start.task, start.attempt, phase)],
        ..update("h1", 2)
    };
    scheduler.update(&report, at(10));

    let again = orders(&mut scheduler, "h1", at(61));

    assert_eq!(again.starts.len(), 1);
}

/// Guards against a perpetual task that waits for idle processors for as long as another task of
/// its job runs.
#[test]
fn perpetual_task_starts_although_it_is_slow_and_its_job_runs() {
    let mut scheduler = owner(1, &["h1"]);
    scheduler.accept(Id::new(1), accepted_job(vec![perpetual(7)]), at(0));
    let filler = Step {
        demand: Resources {
            memory_mb: 10,
            ..cores(8)
        },
        uses_idle: true,
        ..perpetual(2)
    };
    scheduler.accept(Id::new(2), accepted_job(vec![filler]), at(0));

    let mut starts = orders(&mut scheduler, "h1", at(1)).starts;
    starts.extend(orders(&mut scheduler, "h1", at(1_000)).starts);

    let second_job = starts.iter().filter(|start| start.task.job == Id::new(2));
    assert_eq!(second_job.count(), 2);
}

/// Returns the delay before each restart of a perpetual task that fails `run_ms` after each start,
/// in milliseconds.
fn restart_delays(run_ms: u64, failures: u64) -> Vec<u64> {
    let hosts = ["h1"];
    let mut scheduler = owner(1, &hosts);
    scheduler.extend_ownership(at(100_000_000));
    scheduler.accept(Id::new(1), accepted_job(vec![perpetual(1)]), at(0));
    let mut millis = 1;
    let mut start = orders(&mut scheduler, "h1", at(millis)).starts.remove(0);
    let mut delays = Vec::new();
    for number in 1..=failures {
        millis += run_ms;
        let report = Update {
            applied: u64::MAX,
            ends: vec![end(number, start.task, start.attempt, Ending::Failed)],
            ..update("h1", number + 1)
        };
        scheduler.update(&report, at(millis));
        let failed_at = millis;
        start = loop {
            millis += 10;
            if let Some((_, start)) = placed(&mut scheduler, &hosts, millis) {
                break start;
            }
        };
        delays.push(millis - failed_at);
    }
    delays
}

/// Guards against a perpetual task that waits longer after each failure of its whole life.
#[test]
fn perpetual_task_that_has_run_for_long_restarts_at_once() {
    let delays = restart_delays(20_000, 180);

    assert!(delays.iter().all(|delay| *delay <= 110), "{delays:?}");
}

/// Guards against a perpetual task that fails at once and is restarted without a pause.
#[test]
fn perpetual_task_that_fails_at_once_is_delayed_more_and_more() {
    let delays = restart_delays(100, 8);

    assert_eq!(delays, [100, 200, 400, 800, 1_000, 1_000, 1_000, 1_000]);
}

/// Returns a companion that has restarted and whose worker lists `running`.
fn restarted_agent(host: &str, running: &[(toucanquay_model::graph::Task, u64)]) -> Runner {
    let settings = toucanquay_control::runner::Settings::new(host.to_owned(), 2, 6_000_000);
    let mut agent = Runner::new(settings);
    agent.record_heartbeat(heartbeat(1), at(0));
    let mut list = empty_list(at(300));
    list.running = running
        .iter()
        .map(|(task, attempt)| listed(*task, *attempt))
        .collect();
    agent.apply_list(list, at(300));
    agent.begin_session(1);
    agent
}

/// Exchanges an update and orders, and returns the calls to the worker.
fn exchange(scheduler: &mut Scheduler, agent: &mut Runner, host: &str, millis: u64) -> Vec<Action> {
    let report = agent.next_update(at(millis));
    scheduler.update(&report, at(millis));
    let orders = orders(scheduler, host, at(millis));
    agent.apply_orders(&orders, at(millis))
}

/// Guards against a host that rejects all starts while a stop of an earlier start is unanswered.
#[test]
fn unanswered_stop_of_an_earlier_start_keeps_no_other_task_away() {
    let mut scheduler = owner(1, &["h1"]);
    scheduler.accept(Id::new(1), accepted_job(vec![step(1)]), at(0));
    assert_eq!(orders(&mut scheduler, "h1", at(1)).starts.len(), 1);
    scheduler.disconnect("h1");
    scheduler.connect("h1");
    let mut agent = restarted_agent("h1", &[]);
    let stops = exchange(&mut scheduler, &mut agent, "h1", 310);
    assert!(matches!(stops.as_slice(), [Action::Stop(_)]));
    agent.record_stop_outcome(task(1, 0, 0), 1, CallOutcome::Unknown, at(320));
    scheduler.accept(Id::new(2), accepted_job(vec![perpetual(1)]), at(330));

    let calls = exchange(&mut scheduler, &mut agent, "h1", 340);

    assert!(
        matches!(calls.as_slice(), [Action::Start { .. }]),
        "{calls:?}"
    );
}

/// Guards against a host that rejects all starts while an attempt ends that runs elsewhere, too.
#[test]
fn attempt_that_is_not_wanted_keeps_no_other_task_away() {
    let hosts = ["h1", "h2"];
    let mut scheduler = owner(1, &hosts);
    scheduler.accept(Id::new(1), accepted_job(vec![step(1)]), at(0));
    let (host, start) = placed(&mut scheduler, &hosts, 1).expect("a start");
    let other = hosts[1 - host];
    scheduler.disconnect(other);
    scheduler.connect(other);
    let mut agent = restarted_agent(other, &[(start.task, start.attempt - 1)]);
    let stops = exchange(&mut scheduler, &mut agent, other, 310);
    assert!(matches!(stops.as_slice(), [Action::Stop(_)]), "{stops:?}");
    // The worker takes its time to stop the attempt.
    agent.record_stop_outcome(start.task, start.attempt - 1, CallOutcome::Done, at(320));
    scheduler.disconnect(hosts[host]);
    scheduler.accept(Id::new(2), accepted_job(vec![perpetual(1)]), at(330));

    let calls = exchange(&mut scheduler, &mut agent, other, 340);

    assert!(
        matches!(calls.as_slice(), [Action::Start { .. }]),
        "{calls:?}"
    );
}

/// Guards against a host that rejects all starts because of an attempt that one list left out.
#[rstest]
fn attempt_that_is_listed_again_keeps_no_other_task_away(#[values(false, true)] is_reported: bool) {
    let mut scheduler = owner(1, &["h1"]);
    scheduler.accept(Id::new(1), accepted_job(vec![perpetual(1)]), at(0));
    let mut agent = restarted_agent("h1", &[]);
    scheduler.connect("h1");
    exchange(&mut scheduler, &mut agent, "h1", 310);
    let attempt = (1 << 32) + 1;
    agent.record_start_outcome(task(1, 0, 0), attempt, CallOutcome::Done, at(320));
    exchange(&mut scheduler, &mut agent, "h1", 330);
    agent.apply_list(empty_list(at(400)), at(401));
    if is_reported {
        scheduler.update(&agent.next_update(at(402)), at(402));
    }
    let mut list = empty_list(at(500));
    list.running = vec![listed(task(1, 0, 0), attempt)];
    agent.apply_list(list, at(501));
    exchange(&mut scheduler, &mut agent, "h1", 510);
    scheduler.accept(Id::new(2), accepted_job(vec![perpetual(1)]), at(520));

    let calls = exchange(&mut scheduler, &mut agent, "h1", 530);

    assert!(
        matches!(calls.as_slice(), [Action::Start { .. }]),
        "{calls:?}"
    );
}

/// Guards against a stop of an attempt that is no longer on its worker: its companion would give no
/// room away until the worker has answered it.
#[test]
fn stop_of_a_rejected_start_is_not_sent() {
    let mut scheduler = owner(1, &["h1"]);
    scheduler.accept(Id::new(1), accepted_job(vec![step(1)]), at(0));
    let start = orders(&mut scheduler, "h1", at(1)).starts.remove(0);
    scheduler.cancel(Id::new(1), at(2));
    let phase = Phase::Rejected(Rejection::NoRoom);
    let report = Update {
        applied: u64::MAX,
        runs: vec![attempt_status(start.task, start.attempt, phase)],
        ..update("h1", 2)
    };
    scheduler.update(&report, at(3));

    let stops = orders(&mut scheduler, "h1", at(4)).stops;

    assert!(stops.is_empty(), "{stops:?}");
}

/// Returns an update of a host whose worker drains.
fn draining(host: &str, number: u64, runs: &[&Start]) -> Update {
    let status = |start: &&Start| attempt_status(start.task, start.attempt, Phase::Running);
    Update {
        applied: u64::MAX,
        worker: Some(Worker {
            is_draining: true,
            remaining_ms: Some(60_000),
            ..worker()
        }),
        runs: runs.iter().map(status).collect(),
        ..update(host, number)
    }
}

/// What falls silent after a stop was ordered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Silent {
    Companion,
    Worker,
}

/// Guards against a task that stays on a draining worker that never answers its stop.
#[rstest]
fn task_of_a_draining_worker_that_falls_silent_starts_when_the_lease_ends(
    #[values(Silent::Companion, Silent::Worker)] silent: Silent,
) {
    let hosts = ["h1", "h2"];
    let mut scheduler = owner(1, &hosts);
    scheduler.accept(Id::new(1), accepted_job(vec![perpetual(1)]), at(0));
    let (first, start) = placed(&mut scheduler, &hosts, 1).expect("a start");
    let second = hosts[1 - first];
    scheduler.update(&draining(hosts[first], 2, &[&start]), at(100));
    let stops = orders(&mut scheduler, hosts[first], at(101)).stops;
    if silent == Silent::Companion {
        scheduler.disconnect(hosts[first]);
    }
    let mut started_at = None;
    for number in 3..100 {
        let millis = 100 * number;
        if silent == Silent::Worker {
            let report = Update {
                worker: None,
                is_worker_silent: true,
                ..draining(hosts[first], number, &[&start])
            };
            scheduler.update(&report, at(millis));
        }
        scheduler.update(&update(second, number), at(millis));
        if !orders(&mut scheduler, second, at(millis)).starts.is_empty() {
            started_at = Some(millis);
            break;
        }
    }

    assert_eq!(stops.len(), 1);
    assert_eq!(started_at, Some(6_500));
}

/// Guards against a task that is lost between two workers that drain one after the other.
#[test]
fn task_moves_on_when_the_next_worker_drains_too() {
    let hosts = ["h1", "h2", "h3"];
    let mut scheduler = owner(1, &hosts);
    scheduler.accept(Id::new(1), accepted_job(vec![perpetual(1)]), at(0));
    let mut visited = Vec::new();
    for number in 0..3 {
        let millis = 100 * number;
        let (host, start) = placed(&mut scheduler, &hosts, millis + 1).expect("a start");
        visited.push(host);
        scheduler.update(&draining(hosts[host], 2, &[&start]), at(millis + 10));
        let stops = orders(&mut scheduler, hosts[host], at(millis + 11)).stops;
        assert_eq!(stops.len(), 1);
        let stopped = Update {
            ends: vec![end(1, start.task, start.attempt, Ending::Stopped)],
            ..draining(hosts[host], 3, &[])
        };
        scheduler.update(&stopped, at(millis + 20));
    }

    visited.sort_unstable();
    assert_eq!(visited, [0, 1, 2]);
}

/// Guards against a task that a new owner leaves on a worker that was draining before.
#[test]
fn task_that_is_adopted_on_a_draining_worker_is_stopped() {
    let mut scheduler = owner(2, &[]);
    let restored = toucanquay_control::scheduler::RestoredJob::default();
    scheduler.restore(
        Id::new(1),
        accepted_job(vec![perpetual(1)]),
        restored,
        at(0),
    );
    scheduler.connect("h1");
    let start = graph::start(task(1, 0, 0), 7);
    scheduler.update(&draining("h1", 1, &[&start]), at(1));

    let stops = orders(&mut scheduler, "h1", at(2)).stops;

    assert_eq!(stops.len(), 1);
}

/// Guards against a gang that waits although there is room, because a member had to wait before.
#[test]
fn gang_starts_again_when_the_delay_of_its_member_has_passed() {
    let hosts = ["h1"];
    let mut scheduler = owner(1, &hosts);
    let gang = Step {
        is_gang: true,
        ..perpetual(2)
    };
    scheduler.accept(Id::new(1), accepted_job(vec![gang]), at(0));
    let starts = orders(&mut scheduler, "h1", at(1)).starts;
    let failed = end(1, starts[0].task, starts[0].attempt, Ending::Failed);
    let alone = end(2, starts[1].task, starts[1].attempt, Ending::Alone);
    let report = Update {
        applied: u64::MAX,
        ends: vec![failed, alone],
        ..update("h1", 2)
    };
    scheduler.update(&report, at(1_000));
    let delayed = orders(&mut scheduler, "h1", at(1_001)).starts;

    let again = orders(&mut scheduler, "h1", at(1_101)).starts;

    assert_eq!((delayed.len(), again.len()), (0, 2));
}

/// Guards against a gang that waits for a member whose start was never resolved, longer than the
/// lease of its worker.
#[rstest]
#[case::answered(true, 700)]
#[case::silent(false, 6_900)]
fn gang_with_an_unresolved_member_starts_again_as_a_whole(
    #[case] is_answered: bool,
    #[case] started_at: u64,
) {
    let hosts = ["h1", "h2", "h3"];
    let mut scheduler = owner(1, &hosts);
    let gang = Step {
        is_gang: true,
        per_worker_max: Some(1),
        ..perpetual(2)
    };
    scheduler.accept(Id::new(1), accepted_job(vec![gang]), at(0));
    let starts = hosts.map(|host| orders(&mut scheduler, host, at(1)).starts.pop());
    let members: Vec<usize> = (0..3).filter(|index| starts[*index].is_some()).collect();
    let [unresolved, alone] = members.as_slice() else {
        panic!("two members start: {starts:?}");
    };
    let start = |index: usize| starts[index].as_ref().expect("a member");
    // The companion of one restarts, and the other one ends alone.
    scheduler.disconnect(hosts[*unresolved]);
    scheduler.connect(hosts[*unresolved]);
    let restarted = Update {
        process: 2,
        ..update(hosts[*unresolved], 1)
    };
    scheduler.update(&restarted, at(500));
    let stop: Orders = orders(&mut scheduler, hosts[*unresolved], at(501));
    let report = Update {
        applied: u64::MAX,
        ends: vec![end(
            1,
            start(*alone).task,
            start(*alone).attempt,
            Ending::Alone,
        )],
        ..update(hosts[*alone], 2)
    };
    scheduler.update(&report, at(510));
    assert_eq!((stop.stops.len(), stop.starts.len()), (1, 0));
    if is_answered {
        let phase = Phase::Rejected(Rejection::Stopped);
        let resolved = Update {
            applied: stop.number,
            runs: vec![attempt_status(
                start(*unresolved).task,
                start(*unresolved).attempt,
                phase,
            )],
            number: 2,
            ..restarted
        };
        scheduler.update(&resolved, at(650));
    } else {
        scheduler.disconnect(hosts[*unresolved]);
    }
    let mut begun = Vec::new();
    for millis in (700..10_000).step_by(100) {
        for (index, host) in hosts.iter().enumerate() {
            if is_answered || index != *unresolved {
                begun.extend(orders(&mut scheduler, host, at(millis)).starts);
            }
        }
        if !begun.is_empty() {
            assert_eq!((begun.len(), millis), (2, started_at));
            return;
        }
    }
    panic!("the gang doesn't start again");
}
