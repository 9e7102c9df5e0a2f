//! A cell owner on its own: limits, refusals, retries and the size of its records.

use std::collections::BTreeMap;

use rstest::{fixture, rstest};
use toucanquay_control::cell::{Cell, Settings, stamp};
use toucanquay_model::{
    Attempt, ErrorKind, Resources, Section, Time,
    exchange::{Command, Report, TaskReport, TaskState},
    job::{Reply, Spec, Urgency},
    section, task, worker,
};

const CAPACITY: Resources = Resources {
    processors_milli: 10_000,
    memory_mb: 10_000,
    accelerators: 0,
};

/// A cell whose store confirms every write at once.
struct Stand {
    cell: Cell,
    now: Time,
    sequence: u64,
    values: BTreeMap<u32, String>,
}

impl Stand {
    fn submit(&mut self, id: &str, team: &str, tasks: u32, processors_milli: u32) -> Reply {
        self.submit_by(id, team, tasks, processors_milli, None)
    }

    fn submit_by(
        &mut self,
        id: &str,
        team: &str,
        tasks: u32,
        processors_milli: u32,
        finish_by_unix_ms: Option<u64>,
    ) -> Reply {
        let spec = Spec {
            id: id.into(),
            team: team.to_owned(),
            kind: "plan".to_owned(),
            tasks,
            demand: Resources {
                processors_milli,
                ..Resources::ZERO
            },
            urgency: Urgency::Normal,
            finish_by_unix_ms,
            payload: String::new(),
        };
        self.cell.submit(spec, 1, self.now);
        self.commit();
        self.cell.drain_answers(self.now).pop().expect("answer").1
    }

    fn commit(&mut self) {
        self.now = self.now.plus_millis(200);
        for write in self.cell.drain_writes(self.now) {
            self.cell.durable(write.segment, write.version, self.now);
            self.values.insert(write.segment, write.value);
        }
    }

    /// Has the owner of epoch 2 take over what is durable.
    fn take_over(&mut self) {
        let stamped =
            |(number, text): (&u32, &String)| (*number, stamp(Some(text), 2).expect("stamp"));
        let segments: Vec<(u32, String)> = self.values.iter().map(stamped).collect();
        self.cell = Cell::takeover(Settings::default(), 2, &segments, self.now).expect("valid");
        self.cell.hold(Time::NEVER);
        self.cell.configure(sections(), 1, 1);
    }

    fn exchange(&mut self, worker: &str, is_leaving: bool, tasks: &[TaskReport]) -> Command {
        self.exchange_as(1, worker, is_leaving, tasks)
    }

    fn exchange_as(
        &mut self,
        incarnation: u64,
        worker: &str,
        is_leaving: bool,
        tasks: &[TaskReport],
    ) -> Command {
        self.sequence += 1;
        let report = Report {
            worker: worker::Id::from(worker),
            incarnation,
            sequence: self.sequence,
            epoch: 1,
            revision: 1,
            is_leaving,
            is_settling: false,
            capacity: CAPACITY,
            tasks: tasks.to_vec(),
            task_usage: Vec::new(),
            service_usage: Vec::new(),
        };
        self.cell.exchange(&report, self.now).expect("an answer")
    }
}

fn lines(command: &Command, state: &TaskState) -> Vec<TaskReport> {
    let grants = command.grants.iter().map(|grant| TaskReport {
        task: grant.task.clone(),
        attempt: grant.attempt,
        demand: grant.demand,
        state: state.clone(),
    });
    grants.collect()
}

fn sections() -> BTreeMap<String, Section> {
    let quota = Section {
        quota: Some(Resources {
            processors_milli: 2_000,
            ..CAPACITY
        }),
        ..Section::default()
    };
    let leaving = Section {
        state: section::State::Leaving,
        ..Section::default()
    };
    let kind = Section {
        batch: BTreeMap::from([(
            "plan".to_owned(),
            section::Batch {
                running_max: Some(3),
            },
        )]),
        ..Section::default()
    };
    let named = [
        ("desk", Section::default()),
        ("small", quota),
        ("gone", leaving),
        ("kind", kind),
    ];
    named
        .map(|(name, section)| (name.to_owned(), section))
        .into()
}

#[fixture]
fn stand() -> Stand {
    let segments = [(0, stamp(None, 1).expect("stamp"))];
    let mut cell = Cell::takeover(Settings::default(), 1, &segments, Time::ZERO).expect("valid");
    cell.hold(Time::NEVER);
    cell.configure(sections(), 1, 1);
    Stand {
        cell,
        now: Time::from_millis(1_000),
        sequence: 0,
        values: BTreeMap::new(),
    }
}

/// Guards against a team that takes the resources of the others.
#[rstest]
#[case("small", 2)]
#[case("kind", 3)]
#[case("desk", 10)]
fn limits_of_a_team_bound_its_grants(
    mut stand: Stand,
    #[case] team: &str,
    #[case] expected: usize,
) {
    stand.submit("a", team, 20, 1_000);

    let command = stand.exchange("w", false, &[]);

    assert_eq!(command.grants.len(), expected);
}

/// Guards against a job that can never run and holds up the others, or fails without a reason.
#[rstest]
fn job_that_never_fits_is_named_and_blocks_nobody(mut stand: Stand) {
    stand.submit("huge", "desk", 1, 11_000);
    stand.submit("usual", "desk", 1, 1_000);

    let command = stand.exchange("w", false, &[]);

    let unfit = stand.cell.show(&"huge".into()).expect("known").unfit;
    assert_eq!(command.grants[0].task.job, "usual".into());
    assert!(unfit.expect("a reason").contains("11000m processors"));
    assert_eq!(stand.cell.show(&"usual".into()).expect("known").unfit, None);
}

/// Guards against a job above the quota of its team that waits without a reason or holds up the
/// others.
#[rstest]
fn job_above_its_quota_is_named_and_blocks_nobody(mut stand: Stand) {
    stand.submit("huge", "small", 1, 3_000);
    stand.submit("usual", "small", 1, 1_000);

    let command = stand.exchange("w", false, &[]);

    let unfit = stand.cell.show(&"huge".into()).expect("known").unfit;
    assert_eq!(command.grants.len(), 1);
    assert_eq!(command.grants[0].task.job, "usual".into());
    assert!(unfit.expect("a reason").contains("quota of team small"));
}

/// Guards against a job of many tasks that takes all room before later jobs get any.
#[rstest]
fn small_job_starts_beside_an_earlier_large_one(mut stand: Stand) {
    stand.submit("large", "desk", 20, 1_000);
    stand.submit("small", "desk", 2, 1_000);

    let command = stand.exchange("w", false, &[]);

    let is_small = |task: &task::Id| task.job == "small".into();
    let small = command.grants.iter().filter(|grant| is_small(&grant.task));
    assert_eq!(small.count(), 2);
    assert_eq!(command.grants.len(), 10);
}

/// Guards against long work that takes the whole cell, so that short work waits for its end.
#[rstest]
fn long_work_leaves_room_for_short_work(mut stand: Stand) {
    stand.submit("long", "desk", 30, 1_000);
    let command = stand.exchange("w", false, &[]);
    let running = lines(&command, &TaskState::Running);
    for _ in 0..14 {
        stand.now = stand.now.plus_millis(5_000);
        stand.exchange("w", false, &running);
    }
    stand.exchange("w", false, &lines(&command, &TaskState::Finished));
    stand.commit();

    let command = stand.exchange("w", false, &[]);
    let running = lines(&command, &TaskState::Running);
    stand.submit("short", "kind", 3, 1_000);
    let short = stand.exchange("w", false, &running);

    assert_eq!(running.len(), 7);
    assert_eq!(short.grants.len(), 3);
}

/// Guards against a job that misses its deadline behind earlier work that has none.
#[rstest]
fn job_near_its_deadline_starts_before_earlier_work(mut stand: Stand) {
    let unix_ms = 1_700_000_000_000;
    stand.cell.set_wall_clock(unix_ms, stand.now);
    stand.submit("filler", "desk", 10, 1_000);
    let command = stand.exchange("w", false, &[]);
    stand.submit("a-plain", "desk", 10, 1_000);
    stand.submit_by("dawn", "desk", 2, 1_000, Some(unix_ms + 120_000));

    let mut states = lines(&command, &TaskState::Running);
    for line in &mut states[..2] {
        line.state = TaskState::Finished;
    }
    stand.exchange("w", false, &states);
    stand.commit();
    let command = stand.exchange("w", false, &states[2..]);

    let granted = command.grants.iter();
    let jobs: Vec<&str> = granted.map(|grant| grant.task.job.0.as_str()).collect();
    assert_eq!(jobs, ["dawn", "dawn"]);
}

/// Guards against a worker that is drained and gets new work, or keeps its tasks.
#[rstest]
fn leaving_worker_gets_nothing_and_is_evicted(mut stand: Stand) {
    stand.submit("a", "desk", 2, 6_000);
    let command = stand.exchange("w", false, &[]);

    let running = lines(&command, &TaskState::Running);
    let command = stand.exchange("w", true, &running);

    assert!(command.grants.is_empty());
    assert!(command.stops[0].with_checkpoint);
}

/// Guards against endless retries, and against retries on the worker that failed.
#[rstest]
fn failed_task_moves_and_is_retried_a_limited_number_of_times(mut stand: Stand) {
    stand.submit("a", "desk", 1, 1_000);
    let failed = TaskState::Failed {
        reason: "exit code 1".to_owned(),
    };
    let mut workers = Vec::new();

    for _ in 0..20 {
        // Longer than each backoff, shorter than the time after which a silent worker is forgotten.
        stand.now = stand.now.plus_millis(10_000);
        stand.cell.tick(stand.now);
        for worker in ["a", "b"] {
            // Both reports wait before the first answer leaves, so the owner has the choice.
            stand.sequence += 1;
            let report = Report {
                worker: worker::Id::from(worker),
                incarnation: 1,
                sequence: stand.sequence,
                epoch: 1,
                revision: 1,
                is_leaving: false,
                is_settling: false,
                capacity: CAPACITY,
                tasks: Vec::new(),
                task_usage: Vec::new(),
                service_usage: Vec::new(),
            };
            stand.cell.receive(&report, stand.now);
        }
        stand.cell.tick(stand.now);
        for (worker, command) in stand.cell.drain_replies(stand.now) {
            if !command.grants.is_empty() {
                stand.exchange(&worker.0, false, &lines(&command, &failed));
                stand.commit();
                workers.push(worker.0);
            }
        }
    }

    assert_eq!(workers, ["a", "b", "a", "b"]);
    assert_eq!(stand.cell.show(&"a".into()).expect("known").failed, 1);
}

/// Guards against work for a team that is unknown or leaving, and against a job id with two
/// meanings.
#[rstest]
#[case("b", "nobody", 1, Some(ErrorKind::UnknownTeam))]
#[case("b", "gone", 1, Some(ErrorKind::Leaving))]
#[case("a", "desk", 2, Some(ErrorKind::JobConflict))]
#[case("a", "desk", 1, None)]
fn submissions_are_checked(
    mut stand: Stand,
    #[case] id: &str,
    #[case] team: &str,
    #[case] tasks: u32,
    #[case] expected: Option<ErrorKind>,
) {
    stand.submit("a", "desk", 1, 1_000);

    let reply = stand.submit(id, team, tasks, 1_000);

    let kind = match reply {
        Reply::Refused(error) => Some(error.kind()),
        _ => None,
    };
    assert_eq!(kind, expected);
}

/// Guards against a refusal that says "not run" of a job that is in the store, and the reverse.
#[rstest]
#[case(true, true)]
#[case(false, false)]
fn failed_write_refuses_only_what_was_surely_not_written(
    mut stand: Stand,
    #[case] is_certain: bool,
    #[case] is_refused: bool,
) {
    let spec = Spec {
        id: "a".into(),
        team: "desk".to_owned(),
        kind: "plan".to_owned(),
        tasks: 1,
        demand: CAPACITY,
        urgency: Urgency::Normal,
        finish_by_unix_ms: None,
        payload: String::new(),
    };
    stand.cell.submit(spec, 7, stand.now);
    let write = stand.cell.drain_writes(stand.now).pop().expect("a write");

    stand
        .cell
        .failed(write.segment, write.version, is_certain, stand.now);

    let answers = stand.cell.drain_answers(stand.now);
    let is_refused_now = matches!(&answers[..], [(7, Reply::Refused(error))] if error.kind() == ErrorKind::StoreUnavailable);
    assert_eq!(is_refused_now, is_refused);
}

/// Guards against records that outgrow the store's limit of 1 MB for a value.
#[rstest]
fn segments_stay_far_below_the_limit(mut stand: Stand) {
    let stopped = TaskState::Stopped {
        checkpoint: Some("c".repeat(500)),
    };
    for job in 0..20 {
        stand.submit(&format!("job{job}"), "desk", 10_000, 10);
    }

    for _ in 0..6 {
        let command = stand.exchange("w", false, &[]);
        let ended = lines(&command, &stopped);
        stand.exchange("w", false, &ended);
        for _ in 0..4 {
            stand.commit();
        }
    }

    let evictions: u32 = stand.cell.list().iter().map(|job| job.evictions).sum();
    assert!(evictions >= 2_000, "{evictions} evictions");
    let largest = stand.values.values().map(String::len).max();
    assert!(largest <= Some(262_144), "{largest:?} bytes");
}

/// Returns the line of a report for one attempt at task 0 of job "a".
fn line(attempt: Attempt, state: TaskState) -> TaskReport {
    TaskReport {
        task: task::Id::new("a".into(), 0),
        attempt,
        demand: CAPACITY,
        state,
    }
}

fn stopped(checkpoint: &str) -> TaskState {
    TaskState::Stopped {
        checkpoint: Some(checkpoint.to_owned()),
    }
}

/// Guards against a result that is acknowledged without a record because an older end of the same
/// task is being written after a takeover.
#[rstest]
fn result_waits_for_the_write_of_an_older_end(mut stand: Stand) {
    stand.submit("a", "desk", 1, 10_000);
    stand.take_over();
    let newer = line(Attempt::new(1, 2), TaskState::Finished);
    stand.exchange("v", false, &[line(Attempt::new(1, 1), stopped("1"))]);

    let early = stand.exchange("w", false, std::slice::from_ref(&newer));
    stand.commit();
    stand.exchange("w", false, &[newer]);
    stand.commit();

    assert!(early.acknowledged.is_empty());
    assert_eq!(stand.cell.show(&"a".into()).expect("known").finished, 1);
}

/// Guards against a checkpoint that is acknowledged without a record because a cancellation, which
/// may still be lost with the owner, is being written.
#[rstest]
fn checkpoint_is_recorded_while_a_cancellation_is_not_durable(mut stand: Stand) {
    stand.submit("a", "desk", 1, 10_000);
    let granted = stand.exchange("w", false, &[]);
    let attempt = granted.grants[0].attempt;
    stand.cell.cancel(&"a".into(), 2, stand.now);
    stand.now = stand.now.plus_millis(12_000);
    stand.cell.tick(stand.now);

    let early = stand.exchange("w", false, &[line(attempt, stopped("1"))]);
    stand.commit();

    assert!(early.acknowledged.is_empty());
    assert!(stand.values[&0].contains("\"checkpoint\":\"1\""));
}

/// Guards against an owner that grants, renews or accepts after another one may have taken over.
#[rstest]
fn owner_is_silent_after_its_own_lease_deadline(mut stand: Stand) {
    stand.submit("a", "desk", 1, 1_000);
    stand.cell.hold(stand.now);

    let report = Report {
        worker: worker::Id::from("w"),
        incarnation: 1,
        sequence: 1,
        epoch: 1,
        revision: 1,
        is_leaving: false,
        is_settling: false,
        capacity: CAPACITY,
        tasks: Vec::new(),
        task_usage: Vec::new(),
        service_usage: Vec::new(),
    };
    let answer = stand.cell.exchange(&report, stand.now);
    stand.cell.cancel(&"a".into(), 2, stand.now);
    stand.commit();

    assert_eq!(answer, None);
    assert_eq!(stand.cell.drain_answers(stand.now), []);
}

/// Guards against a second attempt while the first may still run by its companion's slower clock.
#[rstest]
fn task_restarts_after_the_lease_and_its_margin(mut stand: Stand) {
    stand.submit("a", "desk", 1, 1_000);
    let granted_at = stand.now;
    let first = stand.exchange("v", false, &[]);

    stand.now = granted_at.plus_millis(10_999);
    let early = stand.exchange("w", false, &[]);
    stand.now = granted_at.plus_millis(11_000);
    let second = stand.exchange("w", false, &[]);

    let counts = [&first, &early, &second].map(|command| command.grants.len());
    assert_eq!(counts, [1, 0, 1]);
}

/// Guards against a second attempt while an attempt of the former owner may still run.
#[rstest]
fn unreported_task_waits_after_a_takeover(mut stand: Stand) {
    stand.submit("a", "desk", 1, 1_000);
    stand.take_over();
    let taken_over_at = stand.now;

    stand.now = taken_over_at.plus_millis(10_999);
    let early = stand.exchange("w", false, &[]);
    stand.submit("new", "desk", 1, 1_000);
    stand.now = taken_over_at.plus_millis(11_000);
    let late = stand.exchange("w", false, &[]);

    assert!(early.grants.is_empty());
    assert_eq!(late.grants.len(), 2);
}

/// Guards against grants and acceptances by an outdated configuration.
#[rstest]
fn owner_waits_for_a_configuration_that_it_knows_of(mut stand: Stand) {
    stand.submit("a", "desk", 1, 1_000);
    stand.cell.learn(2);

    let stale = stand.exchange("w", false, &[]);
    let reply = stand.submit("b", "desk", 1, 1_000);
    stand.cell.configure(sections(), 2, 2);

    assert!(stale.grants.is_empty());
    assert!(matches!(reply, Reply::Refused(_)));
}

/// Guards against a second attempt while a start that a former companion sent may take effect.
/// The same companion's report without the attempt says that it was never started.
#[rstest]
#[case(1, 1)]
#[case(2, 0)]
fn missing_attempt_of_a_former_companion_holds_its_lease(
    mut stand: Stand,
    #[case] incarnation: u64,
    #[case] expected: usize,
) {
    stand.submit("a", "desk", 1, 1_000);
    stand.exchange("w", false, &[]);

    let command = stand.exchange_as(incarnation, "w", false, &[]);

    assert_eq!(command.grants.len(), expected);
}
