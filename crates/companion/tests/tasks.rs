//! Batch tasks of a companion with a cell owner and a task runtime over loopback.

mod support;

use std::time::Duration;

use support::{companion_settings, entry::FakeEntry, start_companion, start_upstream, wait_until};
use toucanquay_companion::Companion;
use toucanquay_model::{
    Attempt, Resources,
    exchange::{Grant, Refusal, Report, Stop, TaskState, Throttle},
    job, task,
};
use toucanquay_standin::{Runtime, Upstream, runtime::State};

const CAPACITY: Resources = Resources {
    processors_milli: 4_000,
    memory_mb: 8_000,
    accelerators: 0,
};

/// A companion with a task runtime and a cell owner, past its settling period.
struct Worker {
    entry: FakeEntry,
    runtime: Runtime,
    companion: Companion,
    _upstream: Upstream,
}

async fn start_worker() -> Worker {
    let upstream = start_upstream().await;
    let entry = FakeEntry::start().await;
    let runtime = Runtime::start().await.unwrap();
    entry.become_owner(1);
    let companion = start_companion_with_runtime(&upstream, &entry, &runtime).await;
    entry.wait_for_report(|report| !report.is_settling).await;
    Worker {
        entry,
        runtime,
        companion,
        _upstream: upstream,
    }
}

async fn start_companion_with_runtime(
    upstream: &Upstream,
    entry: &FakeEntry,
    runtime: &Runtime,
) -> Companion {
    let settings = companion_settings(upstream.address())
        .entries([entry.address])
        .runtime(format!("http://{}", runtime.address()))
        .capacity(CAPACITY)
        .settle_ms(0);
    start_companion(settings).await
}

fn task_id(index: u32) -> task::Id {
    task::Id::new(job::Id::from("plan"), index)
}

fn grant(index: u32, number: u32, run_ms: u64) -> Grant {
    Grant {
        task: task_id(index),
        attempt: Attempt::new(1, number),
        team: "desk".to_owned(),
        kind: "plan".to_owned(),
        demand: Resources {
            processors_milli: 1_000,
            memory_mb: 1_000,
            accelerators: 0,
        },
        payload: format!("{{\"run_ms\":{run_ms}}}"),
        checkpoint: None,
    }
}

fn task_state(report: &Report, index: u32) -> Option<&TaskState> {
    let mut tasks = report.tasks.iter();
    tasks
        .find(|task| task.task == task_id(index))
        .map(|task| &task.state)
}

/// Guards against a task whose start or end is never reported to the owner.
#[tokio::test]
async fn granted_task_runs_and_its_end_is_reported_until_acknowledged() {
    let worker = start_worker().await;
    worker.entry.set_withholds_acknowledgements(true);
    worker
        .entry
        .set_next_command(|command| command.grants = vec![grant(0, 1, 300)]);

    let is_running = |report: &Report| task_state(report, 0) == Some(&TaskState::Running);
    worker.entry.wait_for_report(is_running).await;
    let is_finished = |report: &Report| task_state(report, 0) == Some(&TaskState::Finished);
    let first = worker.entry.wait_for_report(is_finished).await;
    worker
        .entry
        .wait_for_report(|report| is_finished(report) && report.sequence > first.sequence)
        .await;
    worker.entry.set_withholds_acknowledgements(false);

    let last_sequence = worker.entry.reports().last().unwrap().sequence;
    worker
        .entry
        .wait_for_report(|report| report.tasks.is_empty() && report.sequence > last_sequence)
        .await;
    assert_eq!(worker.runtime.run_intervals().len(), 1);
}

/// Guards against free capacity that is reported only after the pending exchange has completed.
#[tokio::test]
async fn end_of_a_task_is_reported_while_an_answer_is_held_back() {
    let worker = start_worker().await;
    worker.entry.set_response_delay(Duration::from_secs(2));
    worker
        .entry
        .set_next_command(|command| command.grants = vec![grant(0, 1, 300)]);
    wait_until(|| worker.runtime.running_count() == 1).await;
    let started_at = tokio::time::Instant::now();

    let is_finished = |report: &Report| task_state(report, 0) == Some(&TaskState::Finished);
    worker.entry.wait_for_report(is_finished).await;

    let elapsed = started_at.elapsed();
    assert!(elapsed < Duration::from_millis(1_500), "{elapsed:?}");
}

/// Guards against more running tasks than the worker's capacity when the owner grants too many.
#[tokio::test]
async fn grant_beyond_the_capacity_is_refused() {
    let worker = start_worker().await;
    let grants = (0..6).map(|index| grant(index, 1, 60_000)).collect();
    worker.entry.set_withholds_acknowledgements(true);
    worker
        .entry
        .set_next_command(|command| command.grants = grants);

    let refused = TaskState::Refused {
        reason: Refusal::NoRoom,
    };
    let report = worker
        .entry
        .wait_for_report(|report| task_state(report, 5) == Some(&refused))
        .await;
    wait_until(|| worker.runtime.running_count() == 4).await;

    assert_eq!(task_state(&report, 4), Some(&refused));
    assert_eq!(worker.runtime.peak_resources().processors_milli, 4_000);
}

/// Guards against executing commands of an owner that has been replaced.
#[tokio::test]
async fn command_of_an_older_epoch_is_ignored() {
    let worker = start_worker().await;
    worker.entry.become_owner(2);
    worker
        .entry
        .wait_for_report(|report| report.epoch == 2)
        .await;

    worker.entry.set_next_command(|command| {
        command.epoch = 1;
        command.grants = vec![grant(0, 1, 60_000)];
    });
    let report_count = worker.entry.reports().len();
    wait_until(|| worker.entry.reports().len() >= report_count + 3).await;

    assert!(worker.runtime.run_intervals().is_empty());
}

/// Guards against an eviction that loses the completed work.
#[tokio::test]
async fn stopped_task_is_reported_with_its_checkpoint() {
    let worker = start_worker().await;
    worker
        .entry
        .set_next_command(|command| command.grants = vec![grant(0, 1, 60_000)]);
    wait_until(|| worker.runtime.running_count() == 1).await;
    tokio::time::sleep(Duration::from_millis(200)).await;

    worker.entry.set_next_command(|command| {
        command.stops = vec![Stop {
            task: task_id(0),
            attempt: Attempt::new(1, 1),
            with_checkpoint: true,
        }];
    });

    let is_stopped =
        |report: &Report| matches!(task_state(report, 0), Some(TaskState::Stopped { .. }));
    let report = worker.entry.wait_for_report(is_stopped).await;
    let Some(TaskState::Stopped { checkpoint }) = task_state(&report, 0) else {
        unreachable!("the report was chosen for this state");
    };
    let done_ms: u64 = checkpoint.as_ref().unwrap().parse().unwrap();
    assert!(done_ms >= 200, "{done_ms}");
}

/// Guards against a throttle that does not reach the runtime, and against usage that is reported
/// without its age.
#[tokio::test]
async fn throttled_task_reports_less_usage_with_its_age() {
    let worker = start_worker().await;
    worker.runtime.set_usage_lag(Duration::from_millis(500));
    worker
        .entry
        .set_next_command(|command| command.grants = vec![grant(0, 1, 60_000)]);
    wait_until(|| worker.runtime.running_count() == 1).await;

    worker.entry.set_next_command(|command| {
        command.throttles = vec![Throttle {
            task: task_id(0),
            attempt: Attempt::new(1, 1),
            share_percent: 25,
        }];
    });

    let report = worker
        .entry
        .wait_for_report(|report| {
            let mut usage = report.task_usage.iter();
            usage.any(|usage| usage.processors_milli == 250)
        })
        .await;
    assert!(report.task_usage[0].age_micros >= 500_000);
    let is_measured = |report: &Report| !report.service_usage.is_empty();
    worker.entry.wait_for_report(is_measured).await;
}

/// Guards against a task that continues after its lease, when its owner may have started it
/// elsewhere; against a lease that is extended by a delayed response; and against losing the
/// completed work.
#[tokio::test]
async fn task_is_checkpointed_before_its_lease_ends() {
    let worker = start_worker().await;
    worker.entry.set_response_delay(Duration::from_secs(2));
    let last_sequence = worker.entry.reports().last().unwrap().sequence;
    worker
        .entry
        .wait_for_report(|report| report.sequence > last_sequence)
        .await;
    worker.entry.set_next_command(|command| {
        command.grants = vec![grant(0, 1, 60_000)];
    });
    wait_until(|| worker.runtime.running_count() == 1).await;
    let granted_at = tokio::time::Instant::now();

    worker.entry.set_unresponsive(true);
    wait_until(|| worker.runtime.running_count() == 0).await;
    let elapsed = granted_at.elapsed();
    worker.entry.set_unresponsive(false);

    // The lease counts from the report, sent 2 s before the grant arrived, and the task is stopped
    // 2 s before the lease ends.
    assert!(elapsed < Duration::from_secs(7), "{elapsed:?}");
    assert_eq!(worker.runtime.state(&task_id(0)), Some(State::Stopped));
    let is_stopped = |report: &Report| {
        matches!(
            task_state(report, 0),
            Some(TaskState::Stopped {
                checkpoint: Some(_)
            })
        )
    };
    worker.entry.wait_for_report(is_stopped).await;
}

/// Guards against a graceful stop that loses the work of tasks or leaves them running.
#[tokio::test]
async fn graceful_stop_checkpoints_tasks_and_hands_them_back() {
    let worker = start_worker().await;
    worker
        .entry
        .set_next_command(|command| command.grants = vec![grant(0, 1, 60_000)]);
    wait_until(|| worker.runtime.running_count() == 1).await;

    let is_clean = worker.companion.stop().await;

    let stopped = worker.entry.reports().into_iter().find(|report| {
        matches!(
            task_state(report, 0),
            Some(TaskState::Stopped {
                checkpoint: Some(_)
            })
        )
    });
    assert!(is_clean);
    assert!(stopped.unwrap().is_leaving);
    assert_eq!(worker.runtime.running_count(), 0);
    assert!(worker.entry.heartbeats().pop().unwrap().is_drained);
}

/// Guards against a graceful stop that reports success although the owner has not acknowledged the
/// checkpoints.
#[tokio::test]
async fn graceful_stop_without_an_acknowledgement_is_not_clean() {
    let upstream = start_upstream().await;
    let entry = FakeEntry::start().await;
    let runtime = Runtime::start().await.unwrap();
    entry.become_owner(1);
    let settings = companion_settings(upstream.address())
        .entries([entry.address])
        .runtime(format!("http://{}", runtime.address()))
        .capacity(CAPACITY)
        .settle_ms(0)
        .stop_deadline_ms(1_500);
    let companion = start_companion(settings).await;
    entry.wait_for_report(|report| !report.is_settling).await;
    entry.set_next_command(|command| command.grants = vec![grant(0, 1, 60_000)]);
    wait_until(|| runtime.running_count() == 1).await;
    entry.set_withholds_acknowledgements(true);

    let is_clean = companion.stop().await;

    assert!(!is_clean);
    assert_eq!(runtime.state(&task_id(0)), Some(State::Stopped));
}

/// Guards against starting tasks under a configuration that is known to be outdated.
#[tokio::test]
async fn grant_is_refused_while_a_newer_configuration_is_known() {
    let worker = start_worker().await;
    worker.entry.set_withholds_acknowledgements(true);
    worker.entry.set_next_command(|command| {
        command.revision = 9;
        command.grants = vec![grant(0, 1, 60_000)];
    });

    let refused = TaskState::Refused {
        reason: Refusal::StaleConfiguration,
    };
    worker
        .entry
        .wait_for_report(|report| task_state(report, 0) == Some(&refused))
        .await;

    assert!(worker.runtime.run_intervals().is_empty());
}
