//! Tests of suspect tasks: late starts, gangs, probes and the hosts that are kept free for them.

#[expect(dead_code, reason = "the fixtures are shared with other tests")]
mod graph;

use std::collections::BTreeMap;

use graph::{
    WORKER_INCARNATION, accepted_job, at, attempt_status, commit_changes, cores, crash, crashed,
    empty_list, empty_orders, end, fresh, heartbeat, listed, orders, owner, runner,
    simulation::Simulation, start, started, step, task, update, worker,
};
use rstest::rstest;
use smallvec::SmallVec;
use toucanquay_control::{
    runner::{CallOutcome, Heartbeat, Runner},
    scheduler::{RestoredJob, Scheduler},
};
use toucanquay_model::{
    Resources,
    graph::{Id, Place, Progress, State, Step, Task, TaskProgress},
    session::{AttemptStatus, Ending, Orders, Phase, Rejection, Start, Update, Worker},
};

fn small_step(tasks: u32) -> Step {
    Step {
        demand: Resources {
            processors_milli: 100,
            memory_mb: 10,
            accelerators: 0,
        },
        ..step(tasks)
    }
}

fn commit_all(scheduler: &mut Scheduler, revision: u64, millis: u64) {
    for n in 0..40 {
        commit_changes(scheduler, revision, at(millis + n * 30));
    }
}

/// Guards against a crash without suspects: the start took effect long after its order.
#[test]
fn start_that_takes_effect_late_is_a_suspect() {
    let mut runner = runner(1);
    let orders = Orders {
        starts: vec![start(task(1, 0, 0), 7)],
        ..empty_orders(1, 1, at(0))
    };
    runner.apply_orders(&orders, at(1));
    runner.apply_list(empty_list(at(260)), at(260));
    runner.record_start_outcome(task(1, 0, 0), 7, CallOutcome::Done, at(400));
    runner.mark_worker_exited();

    assert_eq!(runner.next_update(at(700)).crashes.len(), 1);
}

/// Guards against a crash without suspects: the call of the start is still open.
#[test]
fn start_that_is_still_open_is_a_suspect() {
    let mut runner = runner(1);
    let orders = Orders {
        starts: vec![start(task(1, 0, 0), 7)],
        ..empty_orders(1, 1, at(0))
    };
    runner.apply_orders(&orders, at(1));
    runner.apply_list(empty_list(at(260)), at(260));
    runner.mark_worker_exited();

    assert_eq!(runner.next_update(at(700)).crashes.len(), 1);
}

/// Guards against a restarted companion that claims that its worker has outlived a start.
#[test]
fn attempt_found_by_a_new_companion_has_not_survived_yet() {
    let mut runner = runner(1);
    let mut list = empty_list(at(5));
    list.running.push(listed(task(1, 0, 0), 7));
    runner.apply_list(list, at(5));

    assert!(!runner.next_update(at(6)).runs[0].has_survived_start);
}

/// Guards against a suspicion that is cleared by the stop of an attempt that never ran.
#[test]
fn stop_of_an_unknown_attempt_clears_no_suspicion() {
    let hosts = ["h1", "h2", "h3"];
    let mut scheduler = owner(1, &hosts);
    scheduler.accept(Id::new(1), accepted_job(vec![step(1)]), at(0));
    let (host, starts) = started(&mut scheduler, &hosts, at(1)).remove(0);
    scheduler.update(
        &crashed(&host, 2, WORKER_INCARNATION, &[&starts[0]]),
        at(100),
    );
    commit_changes(&mut scheduler, 20, at(200));
    let (host, _) = started(&mut scheduler, &hosts, at(201)).remove(0);
    scheduler.take_events();
    // The companion restarts before it has carried out the start.
    scheduler.disconnect(&host);
    scheduler.connect(&host);
    let restarted = Update {
        process: 2,
        ..update(&host, 1)
    };
    scheduler.update(&restarted, at(300));
    let stop_orders = scheduler.orders(&host, at(301)).expect("orders");
    assert_eq!(stop_orders.stops.len(), 1);
    let settings = toucanquay_control::runner::Settings::new(host.clone(), 2, 6_000_000);
    let mut agent = Runner::new(settings);
    agent.record_heartbeat(heartbeat(1), at(0));
    agent.apply_list(empty_list(at(300)), at(300));
    agent.begin_session(1);
    agent.next_update(at(300));
    agent.apply_orders(&stop_orders, at(302));
    let reply = agent.next_update(at(303));
    scheduler.update(&reply, at(304));

    let events = format!("{:?}", scheduler.take_events());
    assert!(!events.contains("Cleared"), "{events}");
}

/// Guards against giving up a sound task because the job of the other suspect has ended.
#[test]
fn task_beside_a_suspect_of_an_ended_job_is_not_alone() {
    let hosts = ["h1", "h2"];
    let mut scheduler = owner(1, &hosts);
    for job in [1, 2] {
        scheduler.accept(Id::new(job), accepted_job(vec![step(1)]), at(0));
    }
    // Both start on one host. Its session is lost, and its worker crashes.
    let (first, starts) = started(&mut scheduler, &hosts, at(1)).remove(0);
    assert_eq!(starts.len(), 2);
    scheduler.disconnect(&first);
    // The lease ends in silence, and both start again beside each other on the other host.
    scheduler.tick(at(6_500));
    let second = if first == "h1" { "h2" } else { "h1" };
    scheduler.update(&update(second, 2), at(6_500));
    let again = orders(&mut scheduler, second, at(6_501)).starts;
    assert_eq!(again.len(), 2);
    scheduler.update(
        &crashed(second, 3, WORKER_INCARNATION, &[&again[0], &again[1]]),
        at(6_900),
    );
    commit_all(&mut scheduler, 20, 7_000);
    // The job of the deadly task is cancelled (or given up), and the first host returns.
    scheduler.cancel(Id::new(2), at(8_300));
    scheduler.connect(&first);
    scheduler.update(
        &crashed(&first, 1, WORKER_INCARNATION, &[&starts[0], &starts[1]]),
        at(8_400),
    );
    commit_all(&mut scheduler, 21, 8_500);

    assert_ne!(scheduler.job_state(Id::new(1)), Some(State::Failed));
}

/// Guards against a host that is kept free for a suspect whose job is over.
#[test]
fn reservation_ends_with_the_job_of_the_suspect() {
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
    assert!(orders(&mut scheduler, "h1", at(201)).starts.is_empty());
    scheduler.cancel(Id::new(1), at(210));
    scheduler.accept(Id::new(3), accepted_job(vec![step(1)]), at(220));
    let mut outlived = restarted.clone();
    outlived.number = 3;
    outlived.runs[0].has_survived_start = true;
    scheduler.update(&outlived, at(500));
    let mut begun = None;
    for millis in (500..5_000).step_by(10) {
        if !orders(&mut scheduler, "h1", at(millis)).starts.is_empty() {
            begun = Some(millis);
            break;
        }
    }

    assert!(begun.is_some_and(|begun| begun < 1_000), "{begun:?}");
}

/// Guards against keeping all live hosts free, because those that are gone count.
#[test]
fn probes_keep_at_most_a_third_of_the_live_hosts_free() {
    let names: Vec<String> = (0..12).map(|number| format!("h{number:02}")).collect();
    let hosts: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut scheduler = owner(1, &hosts);
    for job in 1..=4 {
        scheduler.accept(Id::new(job), accepted_job(vec![step(1)]), at(0));
    }
    let (host, starts) = started(&mut scheduler, &hosts, at(1)).remove(0);
    let suspects: Vec<&Start> = starts.iter().collect();
    assert_eq!(suspects.len(), 4);
    scheduler.update(&crashed(&host, 2, WORKER_INCARNATION, &suspects), at(50));
    let live: Vec<&str> = hosts
        .iter()
        .copied()
        .filter(|name| *name != host)
        .take(4)
        .collect();
    for name in hosts
        .iter()
        .filter(|name| !live.contains(name) && **name != host)
    {
        scheduler.disconnect(name);
    }
    commit_all(&mut scheduler, 20, 60);
    let probed = started(&mut scheduler, &live, at(1_300)).len();
    scheduler.accept(Id::new(9), accepted_job(vec![step(8)]), at(1_310));

    let others = started(&mut scheduler, &live, at(1_320)).len();

    assert_eq!((probed, others), (1, 1));
}

/// Returns when each of the suspects of one crash was started again, in milliseconds after it.
fn restart_times(hosts: usize, suspects: u64) -> Vec<u64> {
    let names: Vec<String> = (0..hosts).map(|number| format!("h{number:02}")).collect();
    let hosts: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut scheduler = owner(1, &hosts);
    for job in 1..=suspects {
        let perpetual = Step {
            is_perpetual: true,
            ..small_step(1)
        };
        scheduler.accept(Id::new(job), accepted_job(vec![perpetual]), at(0));
    }
    let (host, starts) = started(&mut scheduler, &hosts, at(1)).remove(0);
    let suspects: Vec<&Start> = starts.iter().collect();
    let mut numbers: BTreeMap<&str, u64> = hosts.iter().map(|name| (*name, 2)).collect();
    let mut runs: BTreeMap<&str, Vec<(u64, Start)>> = BTreeMap::new();
    scheduler.update(&crashed(&host, 2, WORKER_INCARNATION, &suspects), at(50));
    let mut times = Vec::new();
    for millis in (60..40_000).step_by(10) {
        for name in &hosts {
            if *name == host && millis < 3_300 {
                continue;
            }
            let number = numbers.get_mut(name).expect("the host is known");
            *number += 1;
            let list = runs.entry(name).or_default();
            // 250 ms, and 60 ms on average until the next list, which is awaited for 125 ms.
            let status = |(at, start): &(u64, Start)| AttemptStatus {
                has_survived_start: millis >= at + 310,
                ..fresh(start)
            };
            let incarnation = if *name == host {
                5_000
            } else {
                WORKER_INCARNATION
            };
            let report = Update {
                applied: u64::MAX,
                worker: Some(Worker {
                    incarnation,
                    ..worker()
                }),
                runs: list.iter().map(status).collect(),
                ..update(name, *number)
            };
            scheduler.update(&report, at(millis));
        }
        commit_changes(&mut scheduler, 20, at(millis));
        for (name, starts) in started(&mut scheduler, &hosts, at(millis)) {
            let key = hosts.iter().find(|host| **host == name).expect("known");
            for start in starts {
                times.push(millis - 50);
                runs.entry(key).or_default().push((millis, start));
            }
        }
    }
    times
}

/// Guards against perpetual tasks that wait for long as suspects.
#[test]
fn twenty_suspects_on_three_hosts_run_again_within_six_seconds() {
    let times = restart_times(3, 20);
    assert!(times.len() == 20 && times.last() < Some(&6_000));
}

/// Guards against a large number of suspects that wait for long.
#[test]
fn hundred_suspects_on_eleven_hosts_run_again_within_six_seconds() {
    let times = restart_times(11, 100);
    assert!(times.len() == 100 && times.last() < Some(&6_000));
}

/// Guards against starting other tasks beside a suspect gang.
#[test]
fn nothing_else_is_started_beside_a_suspect_gang() {
    let mut scheduler = owner(1, &["h1"]);
    let gang = Step {
        is_gang: true,
        ..step(2)
    };
    scheduler.accept(Id::new(1), accepted_job(vec![gang]), at(0));
    scheduler.accept(Id::new(10), accepted_job(vec![step(1)]), at(0));
    let starts = orders(&mut scheduler, "h1", at(1)).starts;
    let suspects: Vec<&Start> = starts.iter().collect();
    scheduler.update(&crashed("h1", 2, WORKER_INCARNATION, &suspects), at(700));
    scheduler.cancel(Id::new(10), at(701));
    commit_all(&mut scheduler, 20, 710);
    let mut back = Update {
        worker: Some(Worker {
            incarnation: WORKER_INCARNATION + 1,
            ..worker()
        }),
        ..update("h1", 3)
    };
    scheduler.update(&back, at(3_000));
    scheduler.accept(Id::new(11), accepted_job(vec![step(1)]), at(3_000));
    let mut alone = Vec::new();
    for millis in (3_001..3_600).step_by(30) {
        alone.extend(orders(&mut scheduler, "h1", at(millis)).starts);
    }
    back.number = 4;
    back.applied = u64::MAX;
    let survived = alone.iter().map(|start| AttemptStatus {
        has_survived_start: true,
        ..fresh(start)
    });
    back.runs = survived.collect();
    scheduler.update(&back, at(3_600));

    let others = orders(&mut scheduler, "h1", at(3_601)).starts;

    let jobs =
        |starts: &[Start]| -> Vec<Id> { starts.iter().map(|start| start.task.job).collect() };
    assert_eq!(jobs(&alone), [Id::new(1); 2]);
    assert_eq!(jobs(&others), [Id::new(11)]);
}

/// Guards against a suspicion that the repeated end of an earlier attempt clears.
#[test]
fn repeated_end_of_an_earlier_attempt_clears_no_suspicion() {
    let hosts = ["h1", "h2"];
    let mut scheduler = owner(1, &hosts);
    scheduler.accept(Id::new(1), accepted_job(vec![step(1)]), at(0));
    let (host, starts) = started(&mut scheduler, &hosts, at(1)).remove(0);
    let mut failed = update(&host, 2);
    failed.applied = 9;
    failed
        .ends
        .push(end(1, starts[0].task, starts[0].attempt, Ending::Failed));
    scheduler.update(&failed, at(50));
    let (other, again) = started(&mut scheduler, &hosts, at(60)).remove(0);
    assert_ne!(host, other);
    scheduler.update(
        &crashed(&other, 2, WORKER_INCARNATION, &[&again[0]]),
        at(100),
    );
    scheduler.take_events();
    // The worker of the first host restarts its session; its end was not acknowledged.
    scheduler.disconnect(&host);
    scheduler.tick(at(6_600));
    scheduler.connect(&host);
    let mut replayed = failed.clone();
    replayed.number = 1;
    scheduler.update(&replayed, at(6_700));

    let events = format!("{:?}", scheduler.take_events());
    assert!(!events.contains("Cleared"), "{events}");
}

/// Guards against suspects that wait although their crash is recorded.
#[test]
fn suspect_is_placed_as_soon_as_its_crash_is_recorded() {
    let hosts = ["h1", "h2", "h3"];
    let mut scheduler = owner(1, &hosts);
    for job in 1..=2 {
        scheduler.accept(Id::new(job), accepted_job(vec![step(1)]), at(0));
    }
    let (host, starts) = started(&mut scheduler, &hosts, at(1)).remove(0);
    let mut done = update(&host, 2);
    done.applied = 9;
    done.runs.push(fresh(&starts[1]));
    done.ends
        .push(end(1, starts[0].task, starts[0].attempt, Ending::Failed));
    scheduler.update(&done, at(80));
    assert!(scheduler.next_commit(at(90)).is_some());
    scheduler.update(
        &crashed(&host, 3, WORKER_INCARNATION, &[&starts[1]]),
        at(100),
    );
    started(&mut scheduler, &hosts, at(105));
    scheduler.commit_succeeded(20);
    started(&mut scheduler, &hosts, at(110));
    assert!(scheduler.next_commit(at(120)).is_some());
    scheduler.commit_succeeded(21);
    let mut begun = None;
    for millis in (130..1_000).step_by(10) {
        if !started(&mut scheduler, &hosts, at(millis)).is_empty() {
            begun = Some(millis);
            break;
        }
    }
    assert!(begun.is_some_and(|begun| begun <= 140), "{begun:?}");
}

/// Guards against a task that is started again and again on a host that refuses it.
#[test]
fn rejected_start_is_not_repeated_on_the_same_host_without_limit() {
    let hosts = ["h1", "h2"];
    let mut scheduler = owner(1, &hosts);
    scheduler.accept(Id::new(1), accepted_job(vec![step(1)]), at(0));
    let mut numbers = [2_u64, 2];
    let mut starts = [0_u32, 0];
    let mut first = None;
    for millis in (0..1_000).step_by(10) {
        for (index, name) in hosts.iter().enumerate() {
            let ordered = orders(&mut scheduler, name, at(millis)).starts;
            let Some(start) = ordered.first() else {
                continue;
            };
            starts[index] += 1;
            first.get_or_insert(index);
            if first != Some(index) {
                return;
            }
            numbers[index] += 1;
            let mut report = update(name, numbers[index]);
            report.applied = u64::MAX;
            let phase = Phase::Rejected(Rejection::Refused);
            report
                .runs
                .push(attempt_status(start.task, start.attempt, phase));
            scheduler.update(&report, at(millis + 5));
        }
    }
    panic!("starts within a second: {starts:?}");
}

/// Guards against a companion that starts a task over a capacity that has shrunk.
#[test]
fn companion_rejects_starts_over_a_shrunk_capacity() {
    let mut runner = runner(1);
    let small = |sequence| Heartbeat {
        worker: Worker {
            capacity: cores(1),
            ..worker()
        },
        ..heartbeat(sequence)
    };
    assert!(runner.record_heartbeat(small(5), at(0)));
    assert!(!runner.record_heartbeat(heartbeat(4), at(0)));
    let first = Orders {
        starts: vec![start(task(1, 0, 0), 7)],
        ..empty_orders(1, 1, at(0))
    };
    let shrunk = runner.apply_orders(&first, at(1)).len();
    assert!(runner.record_heartbeat(heartbeat(6), at(0)));
    let second = Orders {
        starts: vec![start(task(2, 0, 0), 8)],
        ..empty_orders(1, 2, at(0))
    };
    let grown = runner.apply_orders(&second, at(2)).len();

    assert_eq!((shrunk, grown), (0, 1));
}

/// Guards against an owner that places a task over a capacity that has shrunk.
#[test]
fn owner_places_nothing_over_a_shrunk_capacity() {
    let mut scheduler = owner(1, &["h1"]);
    scheduler.accept(Id::new(1), accepted_job(vec![step(3)]), at(0));
    let starts = orders(&mut scheduler, "h1", at(1)).starts;
    let report = |number, count| {
        let mut report = update("h1", number);
        report.applied = u64::MAX;
        report.worker = Some(Worker {
            capacity: cores(count),
            ..worker()
        });
        let phase = [Phase::Running, Phase::Running, Phase::Stopping];
        let status =
            |(start, phase): (&Start, Phase)| attempt_status(start.task, start.attempt, phase);
        report.runs.extend(starts.iter().zip(phase).map(status));
        report
    };
    scheduler.update(&report(2, 7), at(100));
    scheduler.accept(Id::new(2), accepted_job(vec![step(1)]), at(101));
    let shrunk = orders(&mut scheduler, "h1", at(110)).starts.len();
    scheduler.update(&report(3, 8), at(200));
    let grown = orders(&mut scheduler, "h1", at(210)).starts.len();

    assert_eq!((shrunk, grown), (0, 1));
}

/// Guards against giving away room that an attempt of unknown size occupies.
#[test]
fn companion_counts_attempts_that_nobody_has_described() {
    let mut runner = runner(1);
    let mut list = empty_list(at(5));
    list.running.push(listed(task(1, 0, 0), 7));
    runner.apply_list(list, at(5));
    runner.record_heartbeat(
        Heartbeat {
            worker: Worker {
                capacity: cores(2),
                ..worker()
            },
            ..heartbeat(5)
        },
        at(0),
    );
    let orders = Orders {
        starts: vec![start(task(2, 0, 0), 8)],
        ..empty_orders(1, 1, at(0))
    };

    assert_eq!(runner.apply_orders(&orders, at(6)).len(), 0);
}

/// Guards against a task that crashes its workers without limit because calls are slow.
#[test]
fn deadly_tasks_are_given_up_if_calls_are_slow() {
    for seed in 0..5 {
        Simulation::new(seed, 3 + seed % 4)
            .with_busy_workers_and_deadly_tasks(seed)
            .with_call_millis(300)
            .run(20_000);
    }
}

/// Guards against giving up a sound gang for the crashes of other tasks.
#[test]
fn sound_gang_beside_three_deadly_tasks_is_not_given_up() {
    let mut scheduler = owner(1, &["h1", "h2", "h3"]);
    let hosts = ["h1", "h2", "h3"];
    let gang = Step {
        is_gang: true,
        ..step(2)
    };
    scheduler.accept(Id::new(1), accepted_job(vec![gang]), at(0));
    let mut millis = 0;
    let mut numbers: BTreeMap<&str, u64> = hosts.iter().map(|name| (*name, 2)).collect();
    let mut incarnations: BTreeMap<&str, u64> = hosts
        .iter()
        .map(|name| (*name, WORKER_INCARNATION))
        .collect();
    for round in 0..3_u64 {
        scheduler.accept(Id::new(10 + round), accepted_job(vec![step(1)]), at(millis));
        let mut starts = Vec::new();
        for tick in 0..20 {
            starts.extend(started(&mut scheduler, &hosts, at(millis + 1 + tick * 30)));
        }
        let beside: Vec<&Start> = starts.iter().flat_map(|(_, starts)| starts).collect();
        let name = starts[0].0.clone();
        let key = *hosts.iter().find(|host| **host == name).expect("known");
        let number = numbers.get_mut(key).expect("known");
        let incarnation = incarnations.get_mut(key).expect("known");
        *number += 1;
        scheduler.update(
            &crashed(key, *number, *incarnation, &beside),
            at(millis + 700),
        );
        scheduler.cancel(Id::new(10 + round), at(millis + 701));
        commit_all(&mut scheduler, 20 + round, millis + 710);
        *number += 1;
        *incarnation += 1;
        let back = Update {
            worker: Some(Worker {
                incarnation: *incarnation,
                ..worker()
            }),
            ..update(key, *number)
        };
        scheduler.update(&back, at(millis + 1_900));
        millis += 2_000;
    }
    assert_ne!(scheduler.job_state(Id::new(1)), Some(State::Failed));
}

/// Guards against counting a start that never reached its worker as a crash.
#[test]
fn job_is_given_up_only_if_two_workers_had_begun_a_task() {
    for seed in [138, 158, 191] {
        Simulation::new(seed, 3 + seed % 4)
            .with_busy_workers_and_deadly_tasks(seed)
            .run(20_000);
    }
}

/// Guards against a late report of a crash before a start that its worker has outlived.
#[test]
fn late_report_of_a_crash_before_an_outlived_start_is_ignored() {
    let hosts = ["h1", "h2"];
    let mut scheduler = owner(1, &hosts);
    scheduler.accept(Id::new(1), accepted_job(vec![step(1)]), at(0));
    let (first, starts) = started(&mut scheduler, &hosts, at(1)).remove(0);
    scheduler.disconnect(&first);
    scheduler.tick(at(6_500));
    let second = if first == "h1" { "h2" } else { "h1" };
    scheduler.update(&update(second, 2), at(6_500));
    let again = orders(&mut scheduler, second, at(6_501)).starts.remove(0);
    let mut outlived = update(second, 3);
    outlived.applied = u64::MAX;
    outlived.runs.push(AttemptStatus {
        has_survived_start: true,
        ..fresh(&again)
    });
    scheduler.update(&outlived, at(7_000));
    let gone = Update {
        worker: None,
        ..update(second, 4)
    };
    scheduler.update(&gone, at(8_000));
    scheduler.connect(&first);
    scheduler.take_events();
    scheduler.update(
        &crashed(&first, 1, WORKER_INCARNATION, &[&starts[0]]),
        at(8_100),
    );

    let events = format!("{:?}", scheduler.take_events());
    assert!(!events.contains("Suspected"), "{events}");
}

/// Restores a job of one step under whose tasks workers have crashed, as often as given for each.
fn restore_suspects(scheduler: &mut Scheduler, job: u64, crashes: &[u64]) {
    let suspicion = |(index, crashes): (u32, &u64)| TaskProgress {
        place: Place {
            occurrence: 0,
            step: 0,
            index,
        },
        failed: SmallVec::new(),
        crashed: (1..=*crashes).collect(),
        suspected: SmallVec::new(),
        checkpoint: None,
    };
    let progress = Progress {
        tallies: (0..).zip(crashes).map(suspicion).collect(),
        ..Progress::default()
    };
    let tasks = u32::try_from(crashes.len()).expect("a small number of tasks");
    let restored = RestoredJob {
        progress,
        revision: 5,
    };
    let job_spec = accepted_job(vec![small_step(tasks)]);
    scheduler.restore(Id::new(job), job_spec, restored, at(0));
}

/// Guards against perpetual tasks that wait for the proofs of batch tasks.
#[test]
fn perpetual_suspect_is_probed_before_suspects_of_batch_jobs() {
    let mut scheduler = owner(1, &["h1"]);
    let perpetual = Step {
        is_perpetual: true,
        ..small_step(1)
    };
    for (job, step) in [(1, small_step(3)), (2, perpetual)] {
        let mut accepted = accepted_job(vec![step]);
        accepted.policy.priority = u32::try_from(job).expect("a small number");
        scheduler.accept(Id::new(job), accepted, at(0));
    }
    let starts = orders(&mut scheduler, "h1", at(1)).starts;
    let suspects: Vec<&Start> = starts.iter().collect();
    scheduler.update(&crashed("h1", 2, WORKER_INCARNATION, &suspects), at(50));
    commit_all(&mut scheduler, 20, 60);
    scheduler.connect("h2");
    scheduler.update(&update("h2", 1), at(2_000));

    let probed = orders(&mut scheduler, "h2", at(2_001)).starts;

    let tasks: Vec<Task> = probed.iter().map(|start| start.task).collect();
    assert_eq!(tasks, [task(2, 0, 0)]);
}

/// Guards against suspects that wait because another task of their step needs a probe alone.
#[test]
fn suspect_joins_a_probe_although_an_earlier_task_of_its_step_may_not() {
    let mut scheduler = owner(2, &["h1"]);
    restore_suspects(&mut scheduler, 1, &[1]);
    restore_suspects(&mut scheduler, 2, &[2, 1]);
    restore_suspects(&mut scheduler, 3, &[1; 10]);

    let starts = orders(&mut scheduler, "h1", at(1)).starts;

    let tasks: Vec<Task> = starts.iter().map(|start| start.task).collect();
    assert_eq!(tasks, [task(1, 0, 0), task(2, 0, 1), task(3, 0, 0)]);
}

/// Guards against starts beside an adopted suspect because another one has been proved.
#[rstest]
fn host_of_two_adopted_suspects_is_kept_free_until_both_have_survived(
    #[values(0, 1)] first_survivor: usize,
) {
    let mut scheduler = owner(2, &[]);
    for job in [1, 2] {
        restore_suspects(&mut scheduler, job, &[1]);
    }
    let probes = [start(task(1, 0, 0), 11), start(task(2, 0, 0), 12)];
    scheduler.connect("h1");
    let adopted = Update {
        runs: probes.iter().map(fresh).collect(),
        ..update("h1", 1)
    };
    scheduler.update(&adopted, at(10));
    scheduler.accept(Id::new(3), accepted_job(vec![step(1)]), at(20));
    let mut report = adopted.clone();
    report.number = 2;
    report.runs[first_survivor].has_survived_start = true;
    scheduler.update(&report, at(100));
    let beside = orders(&mut scheduler, "h1", at(101)).starts.len();
    report.number = 3;
    report.runs[1 - first_survivor].has_survived_start = true;
    scheduler.update(&report, at(200));

    let after = orders(&mut scheduler, "h1", at(201)).starts.len();

    assert_eq!((beside, after), (0, 1));
}
