//! Order and placement of batch tasks.

use proptest::prelude::*;
use rstest::rstest;
use toucanquay_model::{
    Attempt, Resources, Section, Time, exchange::TaskUsage, job, job::Urgency, section, task,
    worker,
};
use toucanquay_policy::batch::{Assignment, Backlog, Ending, Job, Room, Settings, Unfit, Wait};

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

fn rooms(count: usize, capacity: Resources) -> Vec<Room> {
    let room = |index| Room::new(worker::Id(format!("w{index}")), capacity);
    (0..count).map(room).collect()
}

fn backlog(rooms: &[Room], settings: Settings) -> Backlog {
    let mut backlog = Backlog::new(settings);
    for room in rooms {
        backlog.join(&room.worker, room.capacity, Time::ZERO);
    }
    backlog
}

fn assign(backlog: &mut Backlog, rooms: &mut [Room], now: Time) -> Vec<String> {
    let assignments = backlog.assign(rooms, now, usize::MAX, |_, _| Some(0.0));
    let name = |assignment: &Assignment| assignment.task.job.to_string();
    assignments.iter().map(name).collect()
}

fn end(backlog: &mut Backlog, room: &mut Room, task: &task::Id, ending: Ending, now: Time) {
    let held = backlog.end(task, ending, now).expect("the task runs");
    room.free = room.free.plus(&held);
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

/// Teaches a backlog the run time of a kind.
fn teach_run_time(backlog: &mut Backlog, rooms: &mut [Room], kind: &str, millis: u64) {
    let lesson = job("lesson", kind, size(1, 1));
    for index in 0..6 {
        backlog.push(&lesson, [index], Time::ZERO);
        backlog.assign(rooms, Time::ZERO, 1, |_, _| Some(0.0));
        let task = task::Id::new(lesson.id.clone(), index);
        backlog.end(&task, Ending::Finished, Time::from_millis(millis));
    }
    for room in rooms {
        room.free = room.capacity;
    }
}

proptest! {
    /// Guards against reservations that exceed what a worker has, whatever was declared or learned.
    #[test]
    fn reservations_fit_the_rooms(
        demands in prop::collection::vec((1u32..9_000, 1u32..9_000, 0u32..3), 1..30),
        used in prop::collection::vec((0u32..20_000, 0u32..20_000), 0..40),
        most in 1usize..40,
    ) {
        let capacity = Resources { processors_milli: 8_000, memory_mb: 8_000, accelerators: 2 };
        let mut rooms = rooms(3, capacity);
        let mut backlog = backlog(&rooms, Settings::default().samples_min(5));
        let mut held = vec![Resources::ZERO; rooms.len()];
        for (index, (processors_milli, memory_mb, accelerators)) in demands.into_iter().enumerate() {
            let demand = Resources { processors_milli, memory_mb, accelerators };
            let kind = ["a", "b", "c"][index % 3];
            backlog.push(&job(&format!("j{index}"), kind, demand), 0..3, Time::ZERO);
        }

        for round in 0..4 {
            let now = Time::from_millis(round * 1_000);
            for assignment in backlog.assign(&mut rooms, now, most, |_, _| Some(0.0)) {
                held[assignment.room] = held[assignment.room].plus(&assignment.reservation);
                for (processors_milli, memory_mb) in &used {
                    let usage = usage(&assignment.task, *processors_milli, *memory_mb);
                    backlog.observe(&usage, now);
                }
            }
        }

        for (room, held) in rooms.iter().zip(&held) {
            prop_assert!(held.fits(&capacity));
            prop_assert_eq!(capacity.checked_sub(held), Some(room.free));
        }
    }

    /// Guards against a task that is started twice or lost by any sequence of calls.
    #[test]
    fn each_task_waits_or_runs_once(steps in prop::collection::vec((0u8..5, 0u32..6), 1..80)) {
        let mut rooms = rooms(2, size(3_000, 3_000));
        let mut backlog = backlog(&rooms, Settings::default());
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
                3 => if let Some(room) = running.remove(&index) {
                    end(&mut backlog, &mut rooms[room], &task, Ending::Stopped, now);
                },
                _ => for started in backlog.assign(&mut rooms, now, 2, |_, _| Some(0.0)) {
                    prop_assert!(waiting.remove(&started.task.index));
                    prop_assert!(running.insert(started.task.index, started.room).is_none());
                },
            }
            prop_assert_eq!(backlog.len(), waiting.len());
        }
    }
}

/// Guards against urgent work behind normal work, and normal behind idle work.
#[test]
fn urgent_work_starts_first() {
    let mut rooms = rooms(1, size(2_000, 2_000));
    let mut backlog = backlog(&rooms, Settings::default());
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
        assign(&mut backlog, &mut rooms, Time::ZERO),
        ["urgent", "normal"]
    );
}

/// Guards against a job of many tasks that keeps later jobs waiting until it is over.
#[test]
fn job_with_much_service_yields_to_a_new_one() {
    let mut rooms = rooms(1, size(1_000, 1_000));
    let mut backlog = backlog(&rooms, Settings::default());
    let old = job("old", "k", size(1_000, 1_000));
    backlog.push(&old, 0..10, Time::ZERO);
    assign(&mut backlog, &mut rooms, Time::ZERO);
    let now = Time::from_millis(120_000);
    let first = task::Id::new(old.id, 0);
    end(&mut backlog, &mut rooms[0], &first, Ending::Finished, now);
    backlog.push(&job("new", "k", size(1_000, 1_000)), [0], now);

    assert_eq!(assign(&mut backlog, &mut rooms, now), ["new"]);
}

/// Guards against starvation of idle work by an endless stream of urgent work.
#[test]
fn starved_job_starts_although_urgent_work_never_ends() {
    let mut rooms = rooms(1, size(1_000, 1_000));
    let mut backlog = backlog(&rooms, Settings::default().starved_millis(10_000));
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
        for assignment in backlog.assign(&mut rooms, now, 1, |_, _| Some(0.0)) {
            started.push(assignment.task.job.to_string());
            end(
                &mut backlog,
                &mut rooms[0],
                &assignment.task,
                Ending::Finished,
                now,
            );
        }
    }

    assert!(started.contains(&"idle".to_owned()), "{started:?}");
}

/// Guards against a large task that never starts because smaller ones fill each gap.
#[test]
fn starved_large_task_gets_a_worker() {
    let mut rooms = rooms(1, size(4_000, 4_000));
    let mut backlog = backlog(&rooms, Settings::default().starved_millis(5_000));
    backlog.push(&job("small", "s", size(1_000, 1_000)), 0..4, Time::ZERO);
    let mut running = backlog.assign(&mut rooms, Time::ZERO, 4, |_, _| Some(0.0));
    backlog.push(&job("large", "l", size(4_000, 4_000)), [0], Time::ZERO);
    let mut has_started = false;

    // One small task ends each second and another one arrives.
    for second in 1..30 {
        let now = Time::from_millis(second * 1_000);
        if !running.is_empty() {
            let task = running.remove(0).task;
            end(&mut backlog, &mut rooms[0], &task, Ending::Finished, now);
        }
        let small = job(&format!("small{second}"), "s", size(1_000, 1_000));
        backlog.push(&small, [0], now);
        for assignment in backlog.assign(&mut rooms, now, 9, |_, _| Some(0.0)) {
            has_started |= assignment.task.job == job::Id::from("large");
            running.push(assignment);
        }
        if has_started {
            break;
        }
    }

    assert!(has_started);
}

/// Guards against work that misses its deadline behind work that has none.
#[test]
fn job_near_its_deadline_starts_first() {
    let mut rooms = rooms(1, size(1_000, 1_000));
    let mut backlog = backlog(&rooms, Settings::default().slack_millis(60_000));
    backlog.push(&job("first", "k", size(1_000, 1_000)), [0], Time::ZERO);
    let dawn = Job {
        finish_by: Some(Time::from_millis(300_000)),
        ..job("dawn", "k", size(1_000, 1_000))
    };
    backlog.push(&dawn, [0], Time::ZERO);

    let near = Time::from_millis(250_000);
    assert_eq!(assign(&mut backlog, &mut rooms, near), ["dawn"]);
}

/// Guards against a job that blocks the queue although no worker can ever hold it, and against a
/// report without the reason.
#[rstest]
#[case::too_large(size(9_000, 1))]
#[case::no_such_shape(size(4_000, 8_000))]
fn unfit_job_blocks_nobody(#[case] demand: Resources) {
    let mut rooms = vec![
        Room::new("small".into(), size(4_000, 2_000)),
        Room::new("wide".into(), size(2_000, 8_000)),
    ];
    let mut backlog = backlog(&rooms, Settings::default());
    backlog.push(&job("unfit", "u", demand), 0..2, Time::ZERO);
    backlog.push(&job("fit", "f", size(1_000, 1_000)), [0], Time::ZERO);

    let started = assign(&mut backlog, &mut rooms, Time::ZERO);

    assert_eq!(started, ["fit"]);
    let wait = backlog.wait(&task::Id::new("unfit".into(), 0));
    assert!(matches!(wait, Some(Wait::Unfit(_))), "{wait:?}");
    assert_eq!(backlog.unfit().count(), 1);
}

/// Guards against a job that stays unfit after a worker that holds it has joined.
#[test]
fn unfit_job_starts_when_a_worker_joins() {
    let mut rooms = rooms(1, size(1_000, 1_000));
    let mut backlog = backlog(&rooms, Settings::default());
    backlog.push(&job("large", "k", size(8_000, 1_000)), [0], Time::ZERO);
    assert!(assign(&mut backlog, &mut rooms, Time::ZERO).is_empty());
    let large = Room::new("large".into(), size(8_000, 8_000));
    backlog.join(&large.worker, large.capacity, Time::ZERO);
    rooms.push(large);

    assert_eq!(assign(&mut backlog, &mut rooms, Time::ZERO), ["large"]);
}

/// Guards against a team that holds more than its quota, and against a quota that keeps other
/// teams waiting.
#[test]
fn quota_holds_one_team_only() {
    let mut rooms = rooms(4, size(4_000, 4_000));
    let mut backlog = backlog(&rooms, Settings::default());
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

    let started = assign(&mut backlog, &mut rooms, Time::ZERO);

    assert_eq!(started.iter().filter(|name| *name == "limited").count(), 2);
    assert_eq!(started.iter().filter(|name| *name == "other").count(), 3);
    assert!(backlog.held("desk").fits(&quota));
    let wait = backlog.wait(&task::Id::new("limited".into(), 5));
    assert!(matches!(wait, Some(Wait::Quota { .. })), "{wait:?}");
}

/// Guards against a quota that can never hold the task and is reported as a passing wait.
#[test]
fn task_above_its_quota_is_unfit() {
    let mut rooms = rooms(1, size(4_000, 4_000));
    let mut backlog = backlog(&rooms, Settings::default());
    let section = Section {
        quota: Some(size(500, 500)),
        ..Section::default()
    };
    backlog.configure("desk", &section, Time::ZERO);
    backlog.push(&job("j", "k", size(1_000, 1_000)), [0], Time::ZERO);

    assert!(assign(&mut backlog, &mut rooms, Time::ZERO).is_empty());
    let unfit = backlog.unfit().next().map(|(_, unfit)| unfit);
    assert!(matches!(unfit, Some(Unfit::Quota { .. })), "{unfit:?}");
}

/// Guards against more running tasks of a kind than the section allows.
#[test]
fn kind_limit_is_kept() {
    let mut rooms = rooms(2, size(4_000, 4_000));
    let mut backlog = backlog(&rooms, Settings::default());
    let batch = section::Batch {
        running_max: Some(3),
    };
    let section = Section {
        batch: [("k".to_owned(), batch)].into(),
        ..Section::default()
    };
    backlog.configure("desk", &section, Time::ZERO);
    backlog.push(&job("j", "k", size(1_000, 1_000)), 0..8, Time::ZERO);

    assert_eq!(assign(&mut backlog, &mut rooms, Time::ZERO).len(), 3);
}

/// Guards against short work that waits for the end of long work because that holds all workers.
#[test]
fn short_work_finds_room_beside_long_work() {
    let mut rooms = rooms(4, size(4_000, 4_000));
    let mut backlog = backlog(&rooms, Settings::default());
    teach_run_time(&mut backlog, &mut rooms, "long", 3_600_000);
    backlog.push(&job("long", "long", size(1_000, 1_000)), 0..99, Time::ZERO);
    let long = assign(&mut backlog, &mut rooms, Time::ZERO);
    backlog.push(&job("short", "short", size(1_000, 1_000)), 0..2, Time::ZERO);

    let short = assign(&mut backlog, &mut rooms, Time::from_millis(1));

    assert_eq!(long.len(), 12);
    assert_eq!(short, ["short", "short"]);
}

/// Guards against reservations that stay at sizes which were declared far off, in either
/// direction.
#[rstest]
#[case::declared_too_large(size(8_000, 8_000), 1_000, 1_000)]
#[case::declared_too_small(size(100, 100), 1_000, 2_000)]
fn reservation_follows_usage(#[case] declared: Resources, #[case] milli: u32, #[case] mb: u32) {
    let mut rooms = rooms(1, size(16_000, 16_000));
    let mut backlog = backlog(&rooms, Settings::default().samples_min(10));
    backlog.push(&job("j", "k", declared), 0..2, Time::ZERO);
    let first = backlog.assign(&mut rooms, Time::ZERO, 1, |_, _| Some(0.0));
    assert_eq!(first[0].reservation, declared);
    for _ in 0..10 {
        backlog.observe(&usage(&first[0].task, milli, mb), Time::ZERO);
    }

    let second = backlog.assign(&mut rooms, Time::ZERO, 1, |_, _| Some(0.0));

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

/// Guards against a few early samples that cut the reservation below the declared size.
#[test]
fn few_samples_do_not_lower_a_reservation() {
    let mut rooms = rooms(1, size(16_000, 16_000));
    let mut backlog = backlog(&rooms, Settings::default().samples_min(10));
    backlog.push(&job("j", "k", size(4_000, 4_000)), 0..2, Time::ZERO);
    let first = backlog.assign(&mut rooms, Time::ZERO, 1, |_, _| Some(0.0));
    for _ in 0..9 {
        backlog.observe(&usage(&first[0].task, 10, 10), Time::ZERO);
    }

    let second = backlog.assign(&mut rooms, Time::ZERO, 1, |_, _| Some(0.0));

    assert_eq!(second[0].reservation, size(4_000, 4_000));
}

/// Guards against a cancelled job that starts again or leaves accounts behind.
#[test]
fn removed_job_leaves_nothing() {
    let mut rooms = rooms(1, size(2_000, 2_000));
    let mut backlog = backlog(&rooms, Settings::default());
    let job = job("j", "k", size(1_000, 1_000));
    backlog.push(&job, 0..10_000, Time::ZERO);
    let running = backlog.assign(&mut rooms, Time::ZERO, 9, |_, _| Some(0.0));

    assert_eq!(backlog.remove_job(&job.id, Time::ZERO), 9_998);
    for assignment in &running {
        let now = Time::from_millis(1);
        end(
            &mut backlog,
            &mut rooms[0],
            &assignment.task,
            Ending::Stopped,
            now,
        );
    }

    assert!(assign(&mut backlog, &mut rooms, Time::from_millis(2)).is_empty());
    assert!(backlog.is_empty());
    assert_eq!(backlog.held("desk"), Resources::ZERO);
}

/// Guards against a takeover that forgets what running tasks hold, or starts one of them again.
#[test]
fn adopted_task_counts_and_does_not_start() {
    let mut rooms = rooms(1, size(4_000, 4_000));
    let mut backlog = backlog(&rooms, Settings::default());
    let job = job("j", "k", size(1_000, 1_000));
    backlog.push(&job, 0..2, Time::ZERO);
    backlog.adopt(&job, 0, size(1_000, 1_000), Time::ZERO);

    let started = backlog.assign(&mut rooms, Time::ZERO, 9, |_, _| Some(0.0));

    assert_eq!(started.len(), 1);
    assert_eq!(started[0].task.index, 1);
    assert_eq!(backlog.held("desk"), size(2_000, 2_000));
}
