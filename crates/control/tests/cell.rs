//! Tests of a cell owner: limits, refusals, retries and the size of its records.

use std::collections::BTreeMap;

use rstest::{fixture, rstest};
use toucanquay_control::cell::{Cell, Settings, raise_epoch};
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
struct TestCell {
    cell: Cell,
    now: Time,
    sequence: u64,
    segments: BTreeMap<u32, String>,
}

impl TestCell {
    fn submit(&mut self, id: &str, team: &str, tasks: u32, processors_milli: u32) -> Reply {
        self.submit_with_deadline(id, team, tasks, processors_milli, None)
    }

    fn submit_with_deadline(
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
        self.cell.take_answers(self.now).pop().expect("answer").1
    }

    /// Confirms all writes that are due.
    fn commit(&mut self) {
        self.now = self.now.plus_millis(200);
        for write in self.cell.take_writes(self.now) {
            self.cell
                .write_succeeded(write.segment, write.version, self.now);
            self.segments.insert(write.segment, write.value);
        }
    }

    /// Replaces the owner by one of epoch 2 that takes over the durable segments.
    fn take_over(&mut self) {
        let with_new_epoch = |(number, text): (&u32, &String)| {
            (*number, raise_epoch(Some(text), 2).expect("valid segment"))
        };
        let segments: Vec<(u32, String)> = self.segments.iter().map(with_new_epoch).collect();
        self.cell =
            Cell::takeover(Settings::default(), 2, &segments, self.now).expect("valid segments");
        self.cell.extend_ownership(Time::NEVER);
        self.cell.configure(sections(), 1, 1);
    }

    fn exchange(&mut self, worker: &str, is_leaving: bool, tasks: &[TaskReport]) -> Command {
        self.exchange_with_incarnation(1, worker, is_leaving, tasks)
    }

    fn exchange_with_incarnation(
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

/// Returns a report of each granted attempt in the given state.
fn task_reports(command: &Command, state: &TaskState) -> Vec<TaskReport> {
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
fn test_cell() -> TestCell {
    let segments = [(0, raise_epoch(None, 1).expect("valid segment"))];
    let mut cell =
        Cell::takeover(Settings::default(), 1, &segments, Time::ZERO).expect("valid segments");
    cell.extend_ownership(Time::NEVER);
    cell.configure(sections(), 1, 1);
    TestCell {
        cell,
        now: Time::from_millis(1_000),
        sequence: 0,
        segments: BTreeMap::new(),
    }
}

/// Guards against a team that uses more resources than its limits allow.
#[rstest]
#[case("small", 2)]
#[case("kind", 3)]
#[case("desk", 10)]
fn team_limits_bound_its_grants(
    mut test_cell: TestCell,
    #[case] team: &str,
    #[case] expected: usize,
) {
    test_cell.submit("a", team, 20, 1_000);

    let command = test_cell.exchange("w", false, &[]);

    assert_eq!(command.grants.len(), expected);
}

/// Guards against a job that can never run and blocks other jobs, or that gives no reason.
#[rstest]
fn job_that_never_fits_reports_why_and_blocks_no_other(mut test_cell: TestCell) {
    test_cell.submit("huge", "desk", 1, 11_000);
    test_cell.submit("usual", "desk", 1, 1_000);

    let command = test_cell.exchange("w", false, &[]);

    let unfit = test_cell
        .cell
        .job_status(&"huge".into())
        .expect("known job")
        .unfit;
    assert_eq!(command.grants[0].task.job, "usual".into());
    assert!(unfit.expect("a reason").contains("11000m processors"));
    assert_eq!(
        test_cell
            .cell
            .job_status(&"usual".into())
            .expect("known job")
            .unfit,
        None
    );
}

/// Guards against a job above its team's quota that gives no reason or blocks other jobs.
#[rstest]
fn job_above_its_quota_reports_why_and_blocks_no_other(mut test_cell: TestCell) {
    test_cell.submit("huge", "small", 1, 3_000);
    test_cell.submit("usual", "small", 1, 1_000);

    let command = test_cell.exchange("w", false, &[]);

    let unfit = test_cell
        .cell
        .job_status(&"huge".into())
        .expect("known job")
        .unfit;
    assert_eq!(command.grants.len(), 1);
    assert_eq!(command.grants[0].task.job, "usual".into());
    assert!(unfit.expect("a reason").contains("quota of team small"));
}

/// Guards against a job of many tasks that takes all resources before later jobs get any.
#[rstest]
fn small_job_starts_beside_an_earlier_large_one(mut test_cell: TestCell) {
    test_cell.submit("large", "desk", 20, 1_000);
    test_cell.submit("small", "desk", 2, 1_000);

    let command = test_cell.exchange("w", false, &[]);

    let is_small = |task: &task::Id| task.job == "small".into();
    let small = command.grants.iter().filter(|grant| is_small(&grant.task));
    assert_eq!(small.count(), 2);
    assert_eq!(command.grants.len(), 10);
}

/// Guards against long tasks that fill the whole cell, so that short tasks wait for their end.
#[rstest]
fn long_work_leaves_room_for_short_work(mut test_cell: TestCell) {
    test_cell.submit("long", "desk", 30, 1_000);
    let command = test_cell.exchange("w", false, &[]);
    let running = task_reports(&command, &TaskState::Running);
    for _ in 0..14 {
        test_cell.now = test_cell.now.plus_millis(5_000);
        test_cell.exchange("w", false, &running);
    }
    test_cell.exchange("w", false, &task_reports(&command, &TaskState::Finished));
    test_cell.commit();

    let command = test_cell.exchange("w", false, &[]);
    let running = task_reports(&command, &TaskState::Running);
    test_cell.submit("short", "kind", 3, 1_000);
    let short = test_cell.exchange("w", false, &running);

    assert_eq!(running.len(), 7);
    assert_eq!(short.grants.len(), 3);
}

/// Guards against a job that misses its deadline behind earlier jobs without a deadline.
#[rstest]
fn job_near_its_deadline_starts_before_earlier_work(mut test_cell: TestCell) {
    let unix_ms = 1_700_000_000_000;
    test_cell.cell.set_wall_clock(unix_ms, test_cell.now);
    test_cell.submit("filler", "desk", 10, 1_000);
    let command = test_cell.exchange("w", false, &[]);
    test_cell.submit("a-plain", "desk", 10, 1_000);
    test_cell.submit_with_deadline("dawn", "desk", 2, 1_000, Some(unix_ms + 120_000));

    let mut states = task_reports(&command, &TaskState::Running);
    for task_report in &mut states[..2] {
        task_report.state = TaskState::Finished;
    }
    test_cell.exchange("w", false, &states);
    test_cell.commit();
    let command = test_cell.exchange("w", false, &states[2..]);

    let granted = command.grants.iter();
    let jobs: Vec<&str> = granted.map(|grant| grant.task.job.0.as_str()).collect();
    assert_eq!(jobs, ["dawn", "dawn"]);
}

/// Guards against a draining worker that gets new tasks or keeps its tasks.
#[rstest]
fn leaving_worker_gets_no_grants_and_its_tasks_are_evicted(mut test_cell: TestCell) {
    test_cell.submit("a", "desk", 2, 6_000);
    let command = test_cell.exchange("w", false, &[]);

    let running = task_reports(&command, &TaskState::Running);
    let command = test_cell.exchange("w", true, &running);

    assert!(command.grants.is_empty());
    assert!(command.stops[0].with_checkpoint);
}

/// Guards against endless retries, and against retries on the worker on which the task failed.
#[rstest]
fn failed_task_moves_and_is_retried_a_limited_number_of_times(mut test_cell: TestCell) {
    test_cell.submit("a", "desk", 1, 1_000);
    let failed = TaskState::Failed {
        reason: "exit code 1".to_owned(),
    };
    let mut workers = Vec::new();

    for _ in 0..20 {
        // Longer than each backoff, shorter than the timeout of a silent worker.
        test_cell.now = test_cell.now.plus_millis(10_000);
        test_cell.cell.tick(test_cell.now);
        for worker in ["a", "b"] {
            // Both reports are unanswered at the placement, so that the owner can choose between
            // the workers.
            test_cell.sequence += 1;
            let report = Report {
                worker: worker::Id::from(worker),
                incarnation: 1,
                sequence: test_cell.sequence,
                epoch: 1,
                revision: 1,
                is_leaving: false,
                is_settling: false,
                capacity: CAPACITY,
                tasks: Vec::new(),
                task_usage: Vec::new(),
                service_usage: Vec::new(),
            };
            test_cell.cell.receive_report(&report, test_cell.now);
        }
        test_cell.cell.tick(test_cell.now);
        for (worker, command) in test_cell.cell.take_commands(test_cell.now) {
            if !command.grants.is_empty() {
                test_cell.exchange(&worker.0, false, &task_reports(&command, &failed));
                test_cell.commit();
                workers.push(worker.0);
            }
        }
    }

    assert_eq!(workers, ["a", "b", "a", "b"]);
    assert_eq!(
        test_cell
            .cell
            .job_status(&"a".into())
            .expect("known job")
            .failed,
        1
    );
}

/// Guards against jobs of an unknown or leaving team, and against one id for two different jobs.
#[rstest]
#[case("b", "nobody", 1, Some(ErrorKind::UnknownTeam))]
#[case("b", "gone", 1, Some(ErrorKind::Leaving))]
#[case("a", "desk", 2, Some(ErrorKind::JobConflict))]
#[case("a", "desk", 1, None)]
fn submissions_are_checked(
    mut test_cell: TestCell,
    #[case] id: &str,
    #[case] team: &str,
    #[case] tasks: u32,
    #[case] expected: Option<ErrorKind>,
) {
    test_cell.submit("a", "desk", 1, 1_000);

    let reply = test_cell.submit(id, team, tasks, 1_000);

    let kind = match reply {
        Reply::Refused(error) => Some(error.kind()),
        _ => None,
    };
    assert_eq!(kind, expected);
}

/// Guards against a refusal that states "not run" for a job that may be in the store, and against a
/// missing refusal for a job that was certainly not written.
#[rstest]
#[case(true, true)]
#[case(false, false)]
fn failed_write_refuses_only_jobs_certainly_not_written(
    mut test_cell: TestCell,
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
    test_cell.cell.submit(spec, 7, test_cell.now);
    let write = test_cell
        .cell
        .take_writes(test_cell.now)
        .pop()
        .expect("a write");

    test_cell
        .cell
        .write_failed(write.segment, write.version, is_certain, test_cell.now);

    let answers = test_cell.cell.take_answers(test_cell.now);
    let is_refused_now = matches!(&answers[..], [(7, Reply::Refused(error))] if error.kind() == ErrorKind::StoreUnavailable);
    assert_eq!(is_refused_now, is_refused);
}

/// Guards against segments that exceed the store's limit of 1 MB for a value.
#[rstest]
fn segments_stay_far_below_the_limit(mut test_cell: TestCell) {
    let stopped = TaskState::Stopped {
        checkpoint: Some("c".repeat(500)),
    };
    for job in 0..20 {
        test_cell.submit(&format!("job{job}"), "desk", 10_000, 10);
    }

    for _ in 0..6 {
        let command = test_cell.exchange("w", false, &[]);
        let ended = task_reports(&command, &stopped);
        test_cell.exchange("w", false, &ended);
        for _ in 0..4 {
            test_cell.commit();
        }
    }

    let evictions: u32 = test_cell
        .cell
        .job_statuses()
        .iter()
        .map(|job| job.evictions)
        .sum();
    assert!(evictions >= 2_000, "{evictions} evictions");
    let largest = test_cell.segments.values().map(String::len).max();
    assert!(largest <= Some(262_144), "{largest:?} bytes");
}

/// Returns the report of one attempt at task 0 of job "a".
fn task_report(attempt: Attempt, state: TaskState) -> TaskReport {
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

/// Guards against a result that is acknowledged without being recorded, because the end of an older
/// attempt at the same task is being written after a takeover.
#[rstest]
fn result_waits_for_the_write_of_an_older_end(mut test_cell: TestCell) {
    test_cell.submit("a", "desk", 1, 10_000);
    test_cell.take_over();
    let newer = task_report(Attempt::new(1, 2), TaskState::Finished);
    test_cell.exchange("v", false, &[task_report(Attempt::new(1, 1), stopped("1"))]);

    let early = test_cell.exchange("w", false, std::slice::from_ref(&newer));
    test_cell.commit();
    test_cell.exchange("w", false, &[newer]);
    test_cell.commit();

    assert!(early.acknowledged.is_empty());
    assert_eq!(
        test_cell
            .cell
            .job_status(&"a".into())
            .expect("known job")
            .finished,
        1
    );
}

/// Guards against a checkpoint that is acknowledged without being recorded while a cancellation is
/// being written, which may still be lost with the owner.
#[rstest]
fn checkpoint_is_recorded_while_a_cancellation_is_not_durable(mut test_cell: TestCell) {
    test_cell.submit("a", "desk", 1, 10_000);
    let granted = test_cell.exchange("w", false, &[]);
    let attempt = granted.grants[0].attempt;
    test_cell.cell.cancel(&"a".into(), 2, test_cell.now);
    test_cell.now = test_cell.now.plus_millis(12_000);
    test_cell.cell.tick(test_cell.now);

    let early = test_cell.exchange("w", false, &[task_report(attempt, stopped("1"))]);
    test_cell.commit();

    assert!(early.acknowledged.is_empty());
    assert!(test_cell.segments[&0].contains("\"checkpoint\":\"1\""));
}

/// Guards against an owner that grants, renews or accepts after another owner may have taken over.
#[rstest]
fn owner_is_silent_after_its_own_lease_deadline(mut test_cell: TestCell) {
    test_cell.submit("a", "desk", 1, 1_000);
    test_cell.cell.extend_ownership(test_cell.now);

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
    let answer = test_cell.cell.exchange(&report, test_cell.now);
    test_cell.cell.cancel(&"a".into(), 2, test_cell.now);
    test_cell.commit();

    assert_eq!(answer, None);
    assert_eq!(test_cell.cell.take_answers(test_cell.now), []);
}

/// Guards against a second attempt while the first may still run, because its companion's clock is
/// slower.
#[rstest]
fn task_restarts_after_the_lease_and_its_margin(mut test_cell: TestCell) {
    test_cell.submit("a", "desk", 1, 1_000);
    let granted_at = test_cell.now;
    let first = test_cell.exchange("v", false, &[]);

    test_cell.now = granted_at.plus_millis(10_999);
    let early = test_cell.exchange("w", false, &[]);
    test_cell.now = granted_at.plus_millis(11_000);
    let second = test_cell.exchange("w", false, &[]);

    let counts = [&first, &early, &second].map(|command| command.grants.len());
    assert_eq!(counts, [1, 0, 1]);
}

/// Guards against a second attempt while an attempt that the former owner granted may still run.
#[rstest]
fn unreported_task_waits_after_a_takeover(mut test_cell: TestCell) {
    test_cell.submit("a", "desk", 1, 1_000);
    test_cell.take_over();
    let taken_over_at = test_cell.now;

    test_cell.now = taken_over_at.plus_millis(10_999);
    let early = test_cell.exchange("w", false, &[]);
    test_cell.submit("new", "desk", 1, 1_000);
    test_cell.now = taken_over_at.plus_millis(11_000);
    let late = test_cell.exchange("w", false, &[]);

    assert!(early.grants.is_empty());
    assert_eq!(late.grants.len(), 2);
}

/// Guards against grants and accepted jobs under an outdated configuration.
#[rstest]
fn owner_waits_for_a_configuration_that_it_knows_of(mut test_cell: TestCell) {
    test_cell.submit("a", "desk", 1, 1_000);
    test_cell.cell.observe_revision(2);

    let stale = test_cell.exchange("w", false, &[]);
    let reply = test_cell.submit("b", "desk", 1, 1_000);
    test_cell.cell.configure(sections(), 2, 2);

    assert!(stale.grants.is_empty());
    assert!(matches!(reply, Reply::Refused(_)));
}

/// Guards against a second attempt while a start that a former incarnation of the companion sent
/// may still take effect. A report of the same incarnation without the attempt proves that it was
/// never started.
#[rstest]
#[case(1, 1)]
#[case(2, 0)]
fn missing_attempt_of_a_former_companion_holds_its_lease(
    mut test_cell: TestCell,
    #[case] incarnation: u64,
    #[case] expected: usize,
) {
    test_cell.submit("a", "desk", 1, 1_000);
    test_cell.exchange("w", false, &[]);

    let command = test_cell.exchange_with_incarnation(incarnation, "w", false, &[]);

    assert_eq!(command.grants.len(), expected);
}
