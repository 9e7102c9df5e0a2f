//! Scheduling order and placement of batch tasks.

use proptest::prelude::*;
use rstest::rstest;
use toucanquay_model::{
    Attempt, Resources, Section, Time, exchange::TaskUsage, job, job::Urgency, section, task,
    worker,
};
use toucanquay_policy::batch::{
    Assignment, Backlog, Job, Outcome, Settings, Unschedulable, WaitReason, WorkerResources,
};

fn size(processors_milli: u32, memory_mb: u32) -> Resources {
    Resources {
        processors_milli,
        memory_mb,
        accelerators: 0,
    }
}

fn job(name: &str, kind: &str, demand: Resources) -> Job {
    Job {
        id: job::Id::from(name),
        team: "desk".to_owned(),
        kind: kind.to_owned(),
        demand,
        urgency: Urgency::Normal,
        finish_by: None,
    }
}

fn workers(count: usize, capacity: Resources) -> Vec<WorkerResources> {
    let resources = |index| WorkerResources::new(worker::Id(format!("w{index}")), capacity);
    (0..count).map(resources).collect()
}

fn backlog(workers: &[WorkerResources], settings: Settings) -> Backlog {
    let mut backlog = Backlog::new(settings);
    for resources in workers {
        backlog.add_worker(&resources.worker, resources.capacity, Time::ZERO);
    }
    backlog
}

fn assign(backlog: &mut Backlog, workers: &mut [WorkerResources], now: Time) -> Vec<String> {
    let assignments = backlog.assign(workers, now, usize::MAX, |_, _| Some(0.0));
    let name = |assignment: &Assignment| assignment.task.job.to_string();
    assignments.iter().map(name).collect()
}

fn end(
    backlog: &mut Backlog,
    resources: &mut WorkerResources,
    task: &task::Id,
    outcome: Outcome,
    now: Time,
) {
    let reserved = backlog
        .end_attempt(task, outcome, now)
        .expect("the task runs");
    resources.free = resources.free.plus(&reserved);
}

fn usage(task: &task::Id, processors_milli: u32, memory_mb: u32) -> TaskUsage {
    TaskUsage {
        task: task.clone(),
        attempt: Attempt::default(),
        age_micros: 0,
        window_micros: 1_000_000,
        processors_milli,
        memory_mb,
    }
}

/// Records run times of a kind by running six tasks for `millis` each.
fn record_run_times(
    backlog: &mut Backlog,
    workers: &mut [WorkerResources],
    kind: &str,
    millis: u64,
) {
    let sample = job("sample", kind, size(1, 1));
    for index in 0..6 {
        backlog.push(&sample, [index], Time::ZERO);
        backlog.assign(workers, Time::ZERO, 1, |_, _| Some(0.0));
        let task = task::Id::new(sample.id.clone(), index);
        backlog.end_attempt(&task, Outcome::Finished, Time::from_millis(millis));
    }
    for resources in workers {
        resources.free = resources.capacity;
    }
}

proptest! {
    /// Guards against reservations that exceed a worker's capacity, for any declared demand and
    /// measured usage.
    #[test]
    fn reservations_fit_the_workers(
        demands in prop::collection::vec((1u32..9_000, 1u32..9_000, 0u32..3), 1..30),
        used in prop::collection::vec((0u32..20_000, 0u32..20_000), 0..40),
        max_assignments in 1usize..40,
    ) {
        let capacity = Resources { processors_milli: 8_000, memory_mb: 8_000, accelerators: 2 };
        let mut workers = workers(3, capacity);
        let mut backlog = backlog(&workers, Settings::default().samples_min(5));
        let mut reserved = vec![Resources::ZERO; workers.len()];
        for (index, (processors_milli, memory_mb, accelerators)) in demands.into_iter().enumerate() {
            let demand = Resources { processors_milli, memory_mb, accelerators };
            let kind = ["a", "b", "c"][index % 3];
            backlog.push(&job(&format!("j{index}"), kind, demand), 0..3, Time::ZERO);
        }

        for round in 0..4 {
            let now = Time::from_millis(round * 1_000);
            for assignment in backlog.assign(&mut workers, now, max_assignments, |_, _| Some(0.0)) {
                reserved[assignment.worker_index] = reserved[assignment.worker_index].plus(&assignment.reservation);
                for (processors_milli, memory_mb) in &used {
                    let usage = usage(&assignment.task, *processors_milli, *memory_mb);
                    backlog.observe(&usage, now);
                }
            }
        }

        for (resources, reserved) in workers.iter().zip(&reserved) {
            prop_assert!(reserved.fits(&capacity));
            prop_assert_eq!(capacity.checked_sub(reserved), Some(resources.free));
        }
    }

    /// Guards against a task being started twice or lost, for any sequence of calls.
    #[test]
    fn each_task_waits_or_runs_once(steps in prop::collection::vec((0u8..5, 0u32..6), 1..80)) {
        let mut workers = workers(2, size(3_000, 3_000));
        let mut backlog = backlog(&workers, Settings::default());
        let job = job("j", "k", size(1_000, 1_000));
        let mut running = std::collections::BTreeMap::new();
        let mut waiting = std::collections::BTreeSet::new();

        for (step, (action, index)) in steps.into_iter().enumerate() {
            let now = Time::from_millis(step as u64);
            let task = task::Id::new(job.id.clone(), index);
            match action {
                0 | 1 => {
                    backlog.push(&job, [index], now);
                    if !running.contains_key(&index) {
                        waiting.insert(index);
                    }
                }
                2 => prop_assert_eq!(backlog.remove(&task, now), waiting.remove(&index)),
                3 => if let Some(worker_index) = running.remove(&index) {
                    end(&mut backlog, &mut workers[worker_index], &task, Outcome::Stopped, now);
                },
                _ => for started in backlog.assign(&mut workers, now, 2, |_, _| Some(0.0)) {
                    prop_assert!(waiting.remove(&started.task.index));
                    prop_assert!(running.insert(started.task.index, started.worker_index).is_none());
                },
            }
            prop_assert_eq!(backlog.len(), waiting.len());
        }
    }
}

/// Guards against starting normal tasks before urgent ones, or idle tasks before normal ones.
#[test]
fn urgent_work_starts_first() {
    let mut workers = workers(1, size(2_000, 2_000));
    let mut backlog = backlog(&workers, Settings::default());
    for (name, urgency) in [
        ("idle", Urgency::Idle),
        ("normal", Urgency::Normal),
        ("urgent", Urgency::Urgent),
    ] {
        let job = Job {
            urgency,
            ..job(name, "k", size(1_000, 1_000))
        };
        backlog.push(&job, [0], Time::ZERO);
    }

    assert_eq!(
        assign(&mut backlog, &mut workers, Time::ZERO),
        ["urgent", "normal"]
    );
}

/// Guards against a job with many tasks delaying all later jobs until it has finished.
#[test]
fn job_with_much_service_yields_to_a_new_one() {
    let mut workers = workers(1, size(1_000, 1_000));
    let mut backlog = backlog(&workers, Settings::default());
    let old = job("old", "k", size(1_000, 1_000));
    backlog.push(&old, 0..10, Time::ZERO);
    assign(&mut backlog, &mut workers, Time::ZERO);
    let now = Time::from_millis(120_000);
    let first = task::Id::new(old.id, 0);
    end(
        &mut backlog,
        &mut workers[0],
        &first,
        Outcome::Finished,
        now,
    );
    backlog.push(&job("new", "k", size(1_000, 1_000)), [0], now);

    assert_eq!(assign(&mut backlog, &mut workers, now), ["new"]);
}

/// Guards against starvation of an idle job by an endless stream of urgent jobs.
#[test]
fn starved_job_starts_although_urgent_work_never_ends() {
    let mut workers = workers(1, size(1_000, 1_000));
    let mut backlog = backlog(&workers, Settings::default().starved_millis(10_000));
    let idle = Job {
        urgency: Urgency::Idle,
        ..job("idle", "k", size(1_000, 1_000))
    };
    backlog.push(&idle, [0], Time::ZERO);
    let mut started = Vec::new();

    for second in 0..60 {
        let now = Time::from_millis(second * 1_000);
        let urgent = Job {
            urgency: Urgency::Urgent,
            ..job(&format!("urgent{second}"), "k", size(1_000, 1_000))
        };
        backlog.push(&urgent, [0], now);
        for assignment in backlog.assign(&mut workers, now, 1, |_, _| Some(0.0)) {
            started.push(assignment.task.job.to_string());
            end(
                &mut backlog,
                &mut workers[0],
                &assignment.task,
                Outcome::Finished,
                now,
            );
        }
    }

    assert!(started.contains(&"idle".to_owned()), "{started:?}");
}

/// Guards against starvation of a large task by smaller ones that fill every gap.
#[test]
fn starved_large_task_starts() {
    let mut workers = workers(1, size(4_000, 4_000));
    let mut backlog = backlog(&workers, Settings::default().starved_millis(5_000));
    backlog.push(&job("small", "s", size(1_000, 1_000)), 0..4, Time::ZERO);
    let mut running = backlog.assign(&mut workers, Time::ZERO, 4, |_, _| Some(0.0));
    backlog.push(&job("large", "l", size(4_000, 4_000)), [0], Time::ZERO);
    let mut has_started = false;

    // Every second, one small task ends and another one is submitted.
    for second in 1..30 {
        let now = Time::from_millis(second * 1_000);
        if !running.is_empty() {
            let task = running.remove(0).task;
            end(&mut backlog, &mut workers[0], &task, Outcome::Finished, now);
        }
        let small = job(&format!("small{second}"), "s", size(1_000, 1_000));
        backlog.push(&small, [0], now);
        for assignment in backlog.assign(&mut workers, now, 9, |_, _| Some(0.0)) {
            has_started |= assignment.task.job == job::Id::from("large");
            running.push(assignment);
        }
        if has_started {
            break;
        }
    }

    assert!(has_started);
}

/// Guards against a job missing its deadline because of jobs without one.
#[test]
fn job_near_its_deadline_starts_first() {
    let mut workers = workers(1, size(1_000, 1_000));
    let mut backlog = backlog(&workers, Settings::default().deadline_slack_millis(60_000));
    backlog.push(&job("first", "k", size(1_000, 1_000)), [0], Time::ZERO);
    let due_soon = Job {
        finish_by: Some(Time::from_millis(300_000)),
        ..job("due-soon", "k", size(1_000, 1_000))
    };
    backlog.push(&due_soon, [0], Time::ZERO);

    let near = Time::from_millis(250_000);
    assert_eq!(assign(&mut backlog, &mut workers, near), ["due-soon"]);
}

/// Guards against a job that fits no worker blocking the queue, and against it being reported
/// without a reason.
#[rstest]
#[case::too_large(size(9_000, 1))]
#[case::no_such_shape(size(4_000, 8_000))]
fn unschedulable_job_does_not_block_others(#[case] demand: Resources) {
    let mut workers = vec![
        WorkerResources::new("small".into(), size(4_000, 2_000)),
        WorkerResources::new("wide".into(), size(2_000, 8_000)),
    ];
    let mut backlog = backlog(&workers, Settings::default());
    backlog.push(&job("unschedulable", "u", demand), 0..2, Time::ZERO);
    backlog.push(&job("fit", "f", size(1_000, 1_000)), [0], Time::ZERO);

    let started = assign(&mut backlog, &mut workers, Time::ZERO);

    assert_eq!(started, ["fit"]);
    let reason = backlog.wait_reason(&task::Id::new("unschedulable".into(), 0));
    assert!(
        matches!(reason, Some(WaitReason::Unschedulable(_))),
        "{reason:?}"
    );
    assert_eq!(backlog.unschedulable().count(), 1);
}

/// Guards against a job staying unschedulable after a worker that fits it has joined.
#[test]
fn unschedulable_job_starts_when_a_worker_joins() {
    let mut workers = workers(1, size(1_000, 1_000));
    let mut backlog = backlog(&workers, Settings::default());
    backlog.push(&job("large", "k", size(8_000, 1_000)), [0], Time::ZERO);
    assert!(assign(&mut backlog, &mut workers, Time::ZERO).is_empty());
    let large = WorkerResources::new("large".into(), size(8_000, 8_000));
    backlog.add_worker(&large.worker, large.capacity, Time::ZERO);
    workers.push(large);

    assert_eq!(assign(&mut backlog, &mut workers, Time::ZERO), ["large"]);
}

/// Guards against a team exceeding its quota, and against the quota of one team delaying another
/// team.
#[test]
fn quota_limits_only_its_team() {
    let mut workers = workers(4, size(4_000, 4_000));
    let mut backlog = backlog(&workers, Settings::default());
    let quota = size(2_000, 9_000);
    let section = Section {
        quota: Some(quota),
        ..Section::default()
    };
    backlog.configure("desk", &section, Time::ZERO);
    backlog.push(&job("limited", "k", size(1_000, 1_000)), 0..8, Time::ZERO);
    let other = Job {
        team: "stove".to_owned(),
        ..job("other", "k", size(1_000, 1_000))
    };
    backlog.push(&other, 0..3, Time::ZERO);

    let started = assign(&mut backlog, &mut workers, Time::ZERO);

    assert_eq!(started.iter().filter(|name| *name == "limited").count(), 2);
    assert_eq!(started.iter().filter(|name| *name == "other").count(), 3);
    assert!(backlog.reserved("desk").fits(&quota));
    let reason = backlog.wait_reason(&task::Id::new("limited".into(), 5));
    assert!(
        matches!(reason, Some(WaitReason::Quota { .. })),
        "{reason:?}"
    );
}

/// Guards against reporting a task that exceeds its whole quota as waiting for quota.
#[test]
fn task_above_its_quota_is_unschedulable() {
    let mut workers = workers(1, size(4_000, 4_000));
    let mut backlog = backlog(&workers, Settings::default());
    let section = Section {
        quota: Some(size(500, 500)),
        ..Section::default()
    };
    backlog.configure("desk", &section, Time::ZERO);
    backlog.push(&job("j", "k", size(1_000, 1_000)), [0], Time::ZERO);

    assert!(assign(&mut backlog, &mut workers, Time::ZERO).is_empty());
    let unschedulable = backlog
        .unschedulable()
        .next()
        .map(|(_, unschedulable)| unschedulable);
    assert!(
        matches!(unschedulable, Some(Unschedulable::Quota { .. })),
        "{unschedulable:?}"
    );
}

/// Guards against running more tasks of a kind than the section allows.
#[test]
fn kind_limit_is_enforced() {
    let mut workers = workers(2, size(4_000, 4_000));
    let mut backlog = backlog(&workers, Settings::default());
    let batch = section::Batch {
        running_max: Some(3),
    };
    let section = Section {
        batch: [("k".to_owned(), batch)].into(),
        ..Section::default()
    };
    backlog.configure("desk", &section, Time::ZERO);
    backlog.push(&job("j", "k", size(1_000, 1_000)), 0..8, Time::ZERO);

    assert_eq!(assign(&mut backlog, &mut workers, Time::ZERO).len(), 3);
}

/// Guards against long tasks reserving all workers, so that short tasks wait for them to end.
#[test]
fn short_tasks_start_beside_long_tasks() {
    let mut workers = workers(4, size(4_000, 4_000));
    let mut backlog = backlog(&workers, Settings::default());
    record_run_times(&mut backlog, &mut workers, "long", 3_600_000);
    backlog.push(&job("long", "long", size(1_000, 1_000)), 0..99, Time::ZERO);
    let long = assign(&mut backlog, &mut workers, Time::ZERO);
    backlog.push(&job("short", "short", size(1_000, 1_000)), 0..2, Time::ZERO);

    let short = assign(&mut backlog, &mut workers, Time::from_millis(1));

    assert_eq!(long.len(), 12);
    assert_eq!(short, ["short", "short"]);
}

/// Guards against reservations that stay at a declared demand far above or below the usage.
#[rstest]
#[case::declared_too_large(size(8_000, 8_000), 1_000, 1_000)]
#[case::declared_too_small(size(100, 100), 1_000, 2_000)]
fn reservation_follows_usage(#[case] declared: Resources, #[case] milli: u32, #[case] mb: u32) {
    let mut workers = workers(1, size(16_000, 16_000));
    let mut backlog = backlog(&workers, Settings::default().samples_min(10));
    backlog.push(&job("j", "k", declared), 0..2, Time::ZERO);
    let first = backlog.assign(&mut workers, Time::ZERO, 1, |_, _| Some(0.0));
    assert_eq!(first[0].reservation, declared);
    for _ in 0..10 {
        backlog.observe(&usage(&first[0].task, milli, mb), Time::ZERO);
    }

    let second = backlog.assign(&mut workers, Time::ZERO, 1, |_, _| Some(0.0));

    let reservation = second[0].reservation;
    assert!(
        (milli..=milli * 5 / 4).contains(&reservation.processors_milli),
        "{reservation}"
    );
    assert!(
        (mb..=mb * 3 / 2).contains(&reservation.memory_mb),
        "{reservation}"
    );
}

/// Guards against a few early samples lowering the reservation below the declared demand.
#[test]
fn few_samples_do_not_lower_a_reservation() {
    let mut workers = workers(1, size(16_000, 16_000));
    let mut backlog = backlog(&workers, Settings::default().samples_min(10));
    backlog.push(&job("j", "k", size(4_000, 4_000)), 0..2, Time::ZERO);
    let first = backlog.assign(&mut workers, Time::ZERO, 1, |_, _| Some(0.0));
    for _ in 0..9 {
        backlog.observe(&usage(&first[0].task, 10, 10), Time::ZERO);
    }

    let second = backlog.assign(&mut workers, Time::ZERO, 1, |_, _| Some(0.0));

    assert_eq!(second[0].reservation, size(4_000, 4_000));
}

/// Guards against a cancelled job starting again or leaving reservations behind.
#[test]
fn removed_job_leaves_no_state() {
    let mut workers = workers(1, size(2_000, 2_000));
    let mut backlog = backlog(&workers, Settings::default());
    let job = job("j", "k", size(1_000, 1_000));
    backlog.push(&job, 0..10_000, Time::ZERO);
    let running = backlog.assign(&mut workers, Time::ZERO, 9, |_, _| Some(0.0));

    assert_eq!(backlog.remove_job(&job.id, Time::ZERO), 9_998);
    for assignment in &running {
        let now = Time::from_millis(1);
        end(
            &mut backlog,
            &mut workers[0],
            &assignment.task,
            Outcome::Stopped,
            now,
        );
    }

    assert!(assign(&mut backlog, &mut workers, Time::from_millis(2)).is_empty());
    assert!(backlog.is_empty());
    assert_eq!(backlog.reserved("desk"), Resources::ZERO);
}

/// Guards against a takeover that loses the reservations of running tasks or starts them again.
#[test]
fn added_running_task_is_counted_and_not_started() {
    let mut workers = workers(1, size(4_000, 4_000));
    let mut backlog = backlog(&workers, Settings::default());
    let job = job("j", "k", size(1_000, 1_000));
    backlog.push(&job, 0..2, Time::ZERO);
    backlog.add_running(&job, 0, size(1_000, 1_000), Time::ZERO);

    let started = backlog.assign(&mut workers, Time::ZERO, 9, |_, _| Some(0.0));

    assert_eq!(started.len(), 1);
    assert_eq!(started[0].task.index, 1);
    assert_eq!(backlog.reserved("desk"), size(2_000, 2_000));
}
