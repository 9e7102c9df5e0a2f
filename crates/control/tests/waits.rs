//! Tests of the reports on perpetual tasks that don't run.

#[expect(dead_code, reason = "the fixtures are shared with other tests")]
mod graph;

use graph::{
    WORKER_INCARNATION, accepted_job, at, attempt_status, commit_changes, cores, crashed, end,
    fresh, orders, owner, step, task, update, worker,
};
use rstest::rstest;
use toucanquay_control::scheduler::{Event, Lack, RestoredJob, Scheduler, Settings, Wait};
use toucanquay_model::{
    Resources,
    graph::{Id, Step, Task},
    session::{Ending, Phase, Start, Update, Worker},
};

/// Returns a step of perpetual tasks with `processors` each.
fn lasting(tasks: u32, processors: u32) -> Step {
    Step {
        is_perpetual: true,
        demand: cores(processors),
        ..step(tasks)
    }
}

/// Returns the scheduler of an owner with these hosts, which has started the only task of job 1 on
/// the first one, and the start. It is confirmed if `is_confirmed`.
fn with_task_on_first_host(hosts: &[&str], is_confirmed: bool) -> (Scheduler, Start) {
    let mut scheduler = owner(1, &hosts[..1]);
    scheduler.accept(Id::new(1), accepted_job(vec![lasting(1, 2)]), at(0));
    let start = orders(&mut scheduler, hosts[0], at(1)).starts.remove(0);
    if is_confirmed {
        scheduler.update(&running(hosts[0], 2, &start), at(100));
    }
    for host in &hosts[1..] {
        scheduler.connect(host);
        scheduler.update(&update(host, 1), at(100));
    }
    (scheduler, start)
}

/// Returns an update from a host that runs one attempt.
fn running(host: &str, number: u64, start: &Start) -> Update {
    let mut running = update(host, number);
    running.applied = number - 1;
    let status = attempt_status(start.task, start.attempt, Phase::Running);
    running.runs.push(status);
    running
}

/// Runs the scheduler from `from` to `to` milliseconds and returns its events.
fn events(scheduler: &mut Scheduler, from: u64, to: u64) -> Vec<Event> {
    scheduler.take_events();
    for millis in (from..=to).step_by(50) {
        scheduler.tick(at(millis));
    }
    scheduler.take_events()
}

/// Returns the reports on tasks: the task, the time for which it didn't run, and why.
fn waits(events: &[Event]) -> Vec<(Task, u64, Wait)> {
    let wait = |event: &Event| match event {
        Event::Waiting {
            task,
            waited_ms,
            wait,
        } => Some((*task, *waited_ms, wait.clone())),
        _ => None,
    };
    events.iter().filter_map(wait).collect()
}

/// Returns why the task of job 1 doesn't run, as reported between two times.
fn reasons(scheduler: &mut Scheduler, from: u64, to: u64) -> Vec<Wait> {
    let reported = waits(&events(scheduler, from, to));
    reported.into_iter().map(|(_, _, wait)| wait).collect()
}

fn on(host: &str) -> String {
    host.to_owned()
}

#[test]
fn task_that_runs_is_not_reported() {
    let (mut scheduler, _start) = with_task_on_first_host(&["h1"], true);

    let events = events(&mut scheduler, 200, 6_000);

    assert_eq!(waits(&events), []);
    assert_eq!(scheduler.lasting_tasks_waiting(), 0);
}

#[test]
fn task_of_an_inherited_job_waits_for_the_hosts_of_the_takeover() {
    let hosts = ["h1", "h2", "h3", "h4", "h5"];
    let names = hosts.iter().map(|host| on(host));
    let mut scheduler = Scheduler::new(Settings::default(), 2, names, at(0));
    scheduler.extend_ownership(at(10_000));
    let job = accepted_job(vec![lasting(1, 2)]);
    scheduler.restore(Id::new(1), job, RestoredJob::default(), at(0));
    scheduler.connect("h1");
    scheduler.update(&update("h1", 1), at(10));

    let events = events(&mut scheduler, 100, 2_200);

    let takeover = Wait::Takeover {
        hosts: 4,
        host: on("h2"),
    };
    assert_eq!(waits(&events), [(task(1, 0, 0), 2_100, takeover)]);
    let awaited = Event::TakeoverWaiting {
        waited_ms: 2_100,
        hosts: 4,
        names: hosts[1..].iter().map(|host| on(host)).collect(),
        jobs: 1,
    };
    assert!(events.contains(&awaited), "{events:?}");
}

#[test]
fn takeover_reports_whether_all_hosts_ended_it() {
    let mut by_hosts = Scheduler::new(Settings::default(), 2, [on("h1")], at(0));
    by_hosts.connect("h1");
    by_hosts.update(&update("h1", 1), at(300));
    let mut by_lease = Scheduler::new(Settings::default(), 2, [on("h1"), on("h2")], at(0));

    let ended_by_hosts = events(&mut by_hosts, 300, 7_000);
    let ended_by_lease = events(&mut by_lease, 300, 7_000);

    let completed = |waited_ms, unreported| Event::TakeoverCompleted {
        waited_ms,
        unreported,
    };
    assert_eq!(ended_by_hosts, [completed(300, 0)]);
    assert_eq!(ended_by_lease.last(), Some(&completed(6_400, 2)));
}

#[test]
fn task_waits_for_the_ownership() {
    let mut scheduler = owner(1, &["h1"]);
    scheduler.extend_ownership(at(0));
    scheduler.accept(Id::new(1), accepted_job(vec![lasting(1, 2)]), at(0));

    assert_eq!(reasons(&mut scheduler, 0, 2_000), [Wait::NotOwner]);
}

#[test]
fn task_waits_for_the_record_of_its_suspicion() {
    let (mut scheduler, start) = with_task_on_first_host(&["h1", "h2"], false);
    let suspect = crashed("h1", 2, WORKER_INCARNATION, &[&start]);
    scheduler.update(&suspect, at(100));

    assert_eq!(reasons(&mut scheduler, 100, 2_200), [Wait::Unrecorded]);
}

#[test]
fn suspect_waits_for_a_host_without_other_starts() {
    let (mut scheduler, start) = with_task_on_first_host(&["h1", "h2"], false);
    let suspect = crashed("h1", 2, WORKER_INCARNATION, &[&start]);
    scheduler.update(&suspect, at(100));
    scheduler.accept(Id::new(2), accepted_job(vec![step(1)]), at(100));
    let beside = orders(&mut scheduler, "h2", at(101)).starts.remove(0);
    let mut fresh_on_h2 = update("h2", 2);
    fresh_on_h2.applied = 1;
    fresh_on_h2.runs.push(fresh(&beside));
    scheduler.update(&fresh_on_h2, at(110));
    commit_changes(&mut scheduler, 20, at(200));

    assert_eq!(reasons(&mut scheduler, 200, 2_200), [Wait::Probe]);
}

#[test]
fn task_that_keeps_failing_waits_for_its_next_attempt() {
    let mut scheduler = owner(1, &["h1"]);
    scheduler.accept(Id::new(1), accepted_job(vec![lasting(1, 2)]), at(0));
    let mut reported = Vec::new();
    let mut number = 1;
    for millis in (50..6_000).step_by(50) {
        for start in orders(&mut scheduler, "h1", at(millis)).starts {
            number += 1;
            let mut failed = update("h1", number);
            let failure = end(number, start.task, start.attempt, Ending::Failed);
            failed.ends.push(failure);
            scheduler.update(&failed, at(millis + 10));
        }
        reported.extend(waits(&scheduler.take_events()));
    }

    let is_delayed = |(_, _, wait): &(Task, u64, Wait)| matches!(wait, Wait::Backoff { .. });
    assert!(!reported.is_empty());
    assert!(reported.iter().all(is_delayed), "{reported:?}");
}

#[test]
fn task_waits_for_a_host_of_its_pool() {
    let mut scheduler = owner(1, &[]);
    scheduler.connect("h1");
    let other_pool = Update {
        worker: Some(Worker {
            pool: "other".to_owned(),
            ..worker()
        }),
        ..update("h1", 1)
    };
    scheduler.update(&other_pool, at(0));
    scheduler.accept(Id::new(1), accepted_job(vec![lasting(1, 2)]), at(0));

    assert_eq!(reasons(&mut scheduler, 0, 2_000), [Wait::NoHost]);
}

#[test]
fn task_waits_for_room() {
    let mut scheduler = owner(1, &["h1", "h2"]);
    scheduler.accept(Id::new(1), accepted_job(vec![lasting(2, 14)]), at(0));
    let starts = ["h1", "h2"].map(|host| (host, orders(&mut scheduler, host, at(1)).starts));
    for (host, starts) in &starts {
        scheduler.update(&running(host, 2, &starts[0]), at(100));
    }
    scheduler.accept(Id::new(2), accepted_job(vec![lasting(1, 3)]), at(100));

    let events = events(&mut scheduler, 100, 3_200);

    let no_room = Wait::NoRoom {
        lack: Lack::Processors,
        free_milli: 2_000,
        pool_free_milli: 4_000,
        demand_milli: 3_000,
    };
    assert_eq!(waits(&events), [(task(2, 0, 0), 2_950, no_room)]);
    assert_eq!(scheduler.lasting_tasks_waiting(), 1);
}

/// Returns a demand of processors, memory in GiB and accelerators.
fn demand(processors: u32, memory: u32, accelerators: u32) -> Resources {
    Resources {
        processors_milli: processors * 1_000,
        memory_mb: memory * 1_024,
        accelerators,
    }
}

/// One worker has 4 processors and 16 GiB, the other one 16 processors and 4 GiB.
#[rstest]
#[case::processors(Step { demand: demand(17, 1, 0), ..lasting(1, 1) }, Lack::Processors)]
#[case::memory(Step { demand: demand(1, 17, 0), ..lasting(1, 1) }, Lack::Memory)]
#[case::accelerators(Step { demand: demand(1, 1, 1), ..lasting(1, 1) }, Lack::Accelerators)]
#[case::not_on_one_host(Step { demand: demand(8, 8, 0), ..lasting(1, 1) }, Lack::OneHost)]
#[case::label(Step { requires: Some(on("none")), ..lasting(1, 1) }, Lack::Label)]
#[case::worker_limit(Step { per_worker_max: Some(1), ..lasting(3, 1) }, Lack::WorkerLimit)]
#[case::gang(Step { is_gang: true, ..lasting(9, 1) }, Lack::Gang)]
fn wait_for_room_names_what_is_lacking(#[case] waiting: Step, #[case] lack: Lack) {
    let mut scheduler = owner(1, &[]);
    for (host, capacity) in [("h1", demand(4, 16, 0)), ("h2", demand(16, 4, 0))] {
        scheduler.connect(host);
        let worker = Some(Worker {
            capacity,
            ..worker()
        });
        let report = Update {
            worker,
            ..update(host, 1)
        };
        scheduler.update(&report, at(0));
    }
    scheduler.accept(Id::new(1), accepted_job(vec![waiting]), at(0));

    let events = events(&mut scheduler, 0, 2_100);

    let lacks = waits(&events)
        .into_iter()
        .filter_map(|(_, _, wait)| match wait {
            Wait::NoRoom { lack, .. } => Some(lack),
            _ => None,
        });
    let mut lacks: Vec<Lack> = lacks.collect();
    lacks.dedup();
    assert_eq!(lacks, [lack], "{events:?}");
}

#[test]
fn time_without_a_run_is_counted_by_reason_although_no_report_is_due() {
    let mut scheduler = owner(1, &["h1"]);
    scheduler.accept(Id::new(1), accepted_job(vec![lasting(3, 17)]), at(0));

    let events = events(&mut scheduler, 0, 1_900);

    assert_eq!(waits(&events), []);
    let waited: Vec<(&str, u64)> = scheduler.take_waited_ms().into_iter().collect();
    assert_eq!(waited, [("no_room", 3_000)]);
    assert!(scheduler.take_waited_ms().is_empty());
}

#[test]
fn task_waits_for_a_host_that_is_kept_free_for_a_suspect() {
    let (mut scheduler, start) = with_task_on_first_host(&["h1", "h2"], false);
    let suspect = crashed("h1", 2, WORKER_INCARNATION, &[&start]);
    scheduler.update(&suspect, at(120));
    commit_changes(&mut scheduler, 20, at(200));
    let probe = orders(&mut scheduler, "h2", at(201)).starts.remove(0);
    let mut fresh_on_h2 = update("h2", 2);
    fresh_on_h2.applied = 1;
    fresh_on_h2.runs.push(fresh(&probe));
    scheduler.update(&fresh_on_h2, at(210));
    scheduler.accept(Id::new(2), accepted_job(vec![lasting(1, 2)]), at(220));

    let events = events(&mut scheduler, 220, 3_100);

    let reserved = Wait::Reserved {
        host: on("h2"),
        is_begun: true,
    };
    let reported = waits(&events);
    assert_eq!(reported.len(), 1, "{reported:?}");
    assert_eq!((reported[0].0, &reported[0].2), (task(2, 0, 0), &reserved));
}

#[test]
fn task_with_room_that_is_not_placed_is_reported_with_the_host() {
    let mut scheduler = owner(1, &["h1"]);
    scheduler.accept(Id::new(2), accepted_job(vec![lasting(1, 16)]), at(0));
    scheduler.cancel(Id::new(2), at(0));
    let mut occupied = update("h1", 2);
    let remnant = attempt_status(task(2, 0, 0), 7, Phase::Stopping);
    occupied.runs.push(remnant);
    scheduler.update(&occupied, at(0));
    scheduler.accept(Id::new(1), accepted_job(vec![lasting(1, 2)]), at(0));
    scheduler.tick(at(0));
    scheduler.tick(at(1_000));
    // A placement round just before the remnant ends, so that the next one is later than the report.
    scheduler.configure([]);
    scheduler.tick(at(1_900));
    scheduler.update(&update("h1", 3), at(1_990));

    let unplaced = Wait::Unplaced { host: on("h1") };
    assert_eq!(reasons(&mut scheduler, 2_000, 2_000), [unplaced]);
}

#[test]
fn task_waits_for_the_confirmation_of_its_start() {
    let (mut scheduler, _start) = with_task_on_first_host(&["h1"], false);

    let unconfirmed = Wait::Unconfirmed { host: on("h1") };
    assert_eq!(reasons(&mut scheduler, 50, 2_100), [unconfirmed]);
}

#[test]
fn task_of_a_silent_worker_waits_for_the_end_of_its_lease() {
    let (mut scheduler, _start) = with_task_on_first_host(&["h1"], true);
    scheduler.tick(at(150));
    scheduler.disconnect("h1");

    let silent = Wait::Silent { host: on("h1") };
    assert_eq!(reasons(&mut scheduler, 200, 3_200), [silent]);
}

#[test]
fn task_waits_for_the_stop_of_its_former_attempt() {
    let (mut scheduler, start) = with_task_on_first_host(&["h1", "h2"], true);
    scheduler.tick(at(150));
    let mut draining = running("h1", 3, &start);
    draining.worker = Some(Worker {
        is_draining: true,
        ..worker()
    });
    scheduler.update(&draining, at(200));

    let stopping = Wait::Stopping { host: on("h1") };
    assert_eq!(reasons(&mut scheduler, 250, 3_200), [stopping]);
}

#[test]
fn task_waits_for_the_answer_of_a_restarted_agent() {
    let (mut scheduler, _start) = with_task_on_first_host(&["h1", "h2"], true);
    scheduler.tick(at(150));
    scheduler.disconnect("h1");
    scheduler.connect("h1");
    let restarted = Update {
        process: 2,
        ..update("h1", 1)
    };
    scheduler.update(&restarted, at(200));

    let unresolved = Wait::Unresolved { host: on("h1") };
    assert_eq!(reasons(&mut scheduler, 250, 3_200), [unresolved]);
}

#[test]
fn task_is_reported_every_two_seconds() {
    let mut scheduler = owner(1, &[]);
    scheduler.accept(Id::new(1), accepted_job(vec![lasting(1, 2)]), at(0));

    let events = events(&mut scheduler, 0, 7_000);

    let reported = waits(&events);
    let times: Vec<u64> = reported
        .iter()
        .map(|(_, waited_ms, _)| *waited_ms)
        .collect();
    assert_eq!(times, [2_000, 4_000, 6_000]);
}

#[test]
fn task_that_is_not_perpetual_is_not_reported() {
    let mut scheduler = owner(1, &[]);
    scheduler.accept(Id::new(1), accepted_job(vec![step(1)]), at(0));

    assert_eq!(waits(&events(&mut scheduler, 0, 7_000)), []);
}

/// Guards against a log that is flooded, and against tasks that never get their turn in it.
#[test]
fn reports_are_bounded_and_take_turns() {
    let mut scheduler = owner(1, &[]);
    let small = Step {
        demand: Resources::ZERO,
        ..lasting(40, 1)
    };
    scheduler.accept(Id::new(1), accepted_job(vec![small]), at(0));

    let first = events(&mut scheduler, 0, 2_000);
    let next = events(&mut scheduler, 2_050, 4_000);

    assert_eq!(waits(&first).len(), 16);
    assert!(first.contains(&Event::WaitsSuppressed { tasks: 24 }));
    let mut reported: Vec<Task> = [waits(&first), waits(&next)]
        .concat()
        .into_iter()
        .map(|(task, ..)| task)
        .collect();
    reported.sort_unstable();
    reported.dedup();
    assert_eq!(reported.len(), 40);
    assert_eq!(scheduler.lasting_tasks_waiting(), 40);
}
