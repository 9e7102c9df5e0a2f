//! Tests of a companion's task table: what it refuses and what it repeats.

use rstest::{fixture, rstest};
use toucanquay_control::agent::{Action, Agent, Event, ListedAttempt, Outcome, Settings};
use toucanquay_model::{
    Attempt, Resources, Time,
    exchange::{Command, Grant, Refusal, TaskState},
    task, worker,
};

const CAPACITY: Resources = Resources {
    processors_milli: 4_000,
    memory_mb: 4_000,
    accelerators: 0,
};

fn task_id(index: u32) -> task::Id {
    task::Id::new("job".into(), index)
}

fn grant(index: u32, attempt: Attempt, processors_milli: u32) -> Grant {
    Grant {
        task: task_id(index),
        attempt,
        team: "desk".to_owned(),
        kind: "plan".to_owned(),
        demand: Resources {
            processors_milli,
            ..Resources::ZERO
        },
        payload: String::new(),
        checkpoint: None,
    }
}

fn command(epoch: u64, sequence: u64, grants: Vec<Grant>) -> Command {
    Command {
        epoch,
        sequence,
        lease_micros: 10_000_000,
        grants,
        ..Command::default()
    }
}

fn count_starts(actions: &[Action]) -> usize {
    let is_start = |action: &&Action| matches!(action, Action::Start { .. });
    actions.iter().filter(is_start).count()
}

/// Returns a settled table without tasks whose first report was not answered yet.
#[fixture]
fn agent() -> Agent {
    let settings = Settings {
        settle_micros: 0,
        ..Settings::new(worker::Id::from("w"), 1, CAPACITY)
    };
    let mut agent = Agent::new(settings, Time::ZERO);
    let listed = Event::Listed {
        called_at: Time::ZERO,
        tasks: Vec::new(),
    };
    agent.handle_event(listed, Time::ZERO);
    agent.next_report(Time::ZERO).expect("listed");
    agent
}

/// Guards against tasks that a former owner starts after a takeover.
#[rstest]
fn answer_of_an_older_epoch_changes_nothing(mut agent: Agent) {
    agent.apply_command(&command(5, 1, Vec::new()), Time::ZERO, Time::ZERO);
    agent.next_report(Time::ZERO);

    let late = command(4, 2, vec![grant(0, Attempt::new(4, 1), 1_000)]);
    let actions = agent.apply_command(&late, Time::ZERO, Time::ZERO);

    assert_eq!(count_starts(&actions), 0);
    assert_eq!(agent.epoch(), 5);
}

/// Guards against a grant that takes effect after the owner has concluded that it never would.
#[rstest]
fn answer_to_an_earlier_report_changes_nothing(mut agent: Agent) {
    agent.next_report(Time::ZERO);

    let late = command(1, 1, vec![grant(0, Attempt::new(1, 1), 1_000)]);
    let actions = agent.apply_command(&late, Time::ZERO, Time::ZERO);

    assert_eq!(count_starts(&actions), 0);
}

/// Guards against an overcommitted worker, also when a single answer grants too much.
#[rstest]
fn grants_beyond_the_capacity_are_refused(mut agent: Agent) {
    let grants = vec![
        grant(0, Attempt::new(1, 1), 3_000),
        grant(1, Attempt::new(1, 1), 2_000),
    ];

    let actions = agent.apply_command(&command(1, 1, grants), Time::ZERO, Time::ZERO);

    let report = agent.next_report(Time::ZERO).expect("listed");
    let refused = TaskState::Refused {
        reason: Refusal::NoRoom,
    };
    assert_eq!(count_starts(&actions), 1);
    assert_eq!(report.tasks[1].state, refused);
    assert_eq!(agent.capacity_violations(), 0);
}

/// Guards against tasks that start under a configuration known to be outdated.
#[rstest]
fn grants_are_refused_while_the_configuration_is_stale(mut agent: Agent) {
    agent.configure(3, 4);

    let grants = vec![grant(0, Attempt::new(1, 1), 1_000)];
    let actions = agent.apply_command(&command(1, 1, grants), Time::ZERO, Time::ZERO);

    assert_eq!(count_starts(&actions), 0);
}

/// Guards against a task that keeps running while its owner is unreachable.
#[rstest]
fn task_is_stopped_before_its_lease_ends(mut agent: Agent) {
    let grants = vec![grant(0, Attempt::new(1, 1), 1_000)];
    agent.apply_command(&command(1, 1, grants), Time::ZERO, Time::ZERO);

    let early = agent.tick(Time::from_millis(7_900));
    let due = agent.tick(Time::from_millis(8_000));

    let is_stop = |action: &Action| matches!(action, Action::Stop { .. });
    assert!(!early.iter().any(is_stop));
    assert!(due.iter().any(is_stop));
}

/// Guards against a restarted companion that counts fewer resources than the running tasks hold.
#[rstest]
fn listed_tasks_are_adopted_and_counted() {
    let mut agent = Agent::new(
        Settings::new(worker::Id::from("w"), 2, CAPACITY),
        Time::ZERO,
    );
    let listed = ListedAttempt {
        task: task_id(0),
        attempt: Attempt::new(3, 1),
        demand: CAPACITY,
        deadline: Time::from_millis(5_000),
        state: TaskState::Running,
    };

    let silent = agent.next_report(Time::ZERO);
    let tasks = vec![listed];
    let called_at = Time::ZERO;
    agent.handle_event(Event::Listed { called_at, tasks }, Time::ZERO);

    let report = agent.next_report(Time::ZERO).expect("listed");
    assert_eq!(silent, None);
    assert!(report.is_settling);
    assert_eq!(report.tasks[0].state, TaskState::Running);
    assert_eq!((agent.held_resources(), agent.epoch()), (CAPACITY, 3));
}

/// Guards against a result that is lost because an exchange fails.
#[rstest]
fn result_is_reported_until_it_is_acknowledged(mut agent: Agent) {
    let attempt = Attempt::new(1, 1);
    agent.apply_command(
        &command(1, 1, vec![grant(0, attempt, 1_000)]),
        Time::ZERO,
        Time::ZERO,
    );
    let finished = Event::Task {
        task: task_id(0),
        attempt,
        outcome: Outcome::Finished,
    };
    agent.handle_event(finished, Time::ZERO);

    let counts = [1, 1, 0].map(|_| {
        let report = agent.next_report(Time::ZERO).expect("listed");
        if report.sequence == 3 {
            let acknowledged = vec![(task_id(0), attempt)];
            let answer = Command {
                acknowledged,
                ..command(1, 3, Vec::new())
            };
            agent.apply_command(&answer, Time::ZERO, Time::ZERO);
        }
        report.tasks.len()
    });

    assert_eq!(counts, [1, 1, 0]);
}

/// Guards against a running task that counts as stopped, because the answer to a stop that found no
/// attempt arrives after the answer to the start.
#[rstest]
fn absence_found_before_the_start_does_not_end_a_task(mut agent: Agent) {
    let attempt = Attempt::new(1, 1);
    let grants = vec![grant(0, attempt, 1_000)];
    agent.apply_command(&command(1, 1, grants), Time::ZERO, Time::ZERO);
    let called_at = Time::from_millis(1_000);
    let outcomes = [
        Outcome::StartUnanswered,
        Outcome::Started,
        Outcome::Absent { called_at },
    ];

    for (millis, outcome) in [1_000, 1_500, 1_600].into_iter().zip(outcomes) {
        let event = Event::Task {
            task: task_id(0),
            attempt,
            outcome,
        };
        agent.handle_event(event, Time::from_millis(millis));
    }

    assert_eq!(agent.running_attempts(), 1);
}

/// Guards against two attempts at one task on the same worker.
#[rstest]
fn second_attempt_beside_the_first_is_refused(mut agent: Agent) {
    let grants = vec![
        grant(0, Attempt::new(1, 1), 1_000),
        grant(0, Attempt::new(1, 2), 1_000),
    ];

    let actions = agent.apply_command(&command(1, 1, grants), Time::ZERO, Time::ZERO);

    assert_eq!(count_starts(&actions), 1);
}

/// Guards against a start that arrives after its attempt has ended and runs it again, because the
/// runtime was already told to forget it.
#[rstest]
fn result_is_forgotten_once_no_start_can_arrive(mut agent: Agent) {
    let attempt = Attempt::new(1, 1);
    let grants = vec![grant(0, attempt, 1_000)];
    agent.apply_command(&command(1, 1, grants), Time::ZERO, Time::ZERO);
    let finished = Event::Task {
        task: task_id(0),
        attempt,
        outcome: Outcome::Finished,
    };
    agent.handle_event(finished, Time::ZERO);
    agent.next_report(Time::ZERO);
    let answer = Command {
        acknowledged: vec![(task_id(0), attempt)],
        ..command(1, 2, Vec::new())
    };
    agent.apply_command(&answer, Time::ZERO, Time::ZERO);

    let early = agent.tick(Time::from_millis(9_999));
    let due = agent.tick(Time::from_millis(10_000));

    let is_forget = |action: &Action| matches!(action, Action::Forget { .. });
    assert!(!early.iter().any(is_forget));
    assert!(due.iter().any(is_forget));
}
