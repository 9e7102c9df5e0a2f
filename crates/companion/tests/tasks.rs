//! Batch tasks between a cell owner, a companion and a task runtime, over loopback.

mod support;

use std::time::Duration;

use support::{companion, entry::Entry, settings, until, upstream};
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

/// A companion with a runtime and an owner, which is left settled.
struct Worker {
    entry: Entry,
    runtime: Runtime,
    companion: Companion,
    _upstream: Upstream,
}

async fn worker() -> Worker {
    let upstream = upstream().await;
    let entry = Entry::start().await;
    let runtime = Runtime::start().await.unwrap();
    entry.own(1);
    let companion = beside(&upstream, &entry, &runtime).await;
    entry.report(|report| !report.is_settling).await;
    Worker {
        entry,
        runtime,
        companion,
        _upstream: upstream,
    }
}

async fn beside(upstream: &Upstream, entry: &Entry, runtime: &Runtime) -> Companion {
    let settings = settings(upstream.address())
        .entries([entry.address])
        .runtime(format!("http://{}", runtime.address()))
        .capacity(CAPACITY)
        .settle_ms(0);
    companion(settings).await
}

fn task(index: u32) -> task::Id {
    task::Id::new(job::Id::from("plan"), index)
}

fn grant(index: u32, number: u32, run_ms: u64) -> Grant {
    Grant {
        task: task(index),
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

fn state(report: &Report, index: u32) -> Option<&TaskState> {
    let mut lines = report.tasks.iter();
    lines
        .find(|line| line.task == task(index))
        .map(|line| &line.state)
}

/// Guards against a task whose start or end the owner never learns of.
#[tokio::test]
async fn granted_task_runs_and_its_end_is_reported_until_acknowledged() {
    let worker = worker().await;
    worker.entry.set_keeps_ends(true);
    worker
        .entry
        .order(|order| order.grants = vec![grant(0, 1, 300)]);

    let is_running = |report: &Report| state(report, 0) == Some(&TaskState::Running);
    worker.entry.report(is_running).await;
    let is_finished = |report: &Report| state(report, 0) == Some(&TaskState::Finished);
    let first = worker.entry.report(is_finished).await;
    worker
        .entry
        .report(|report| is_finished(report) && report.sequence > first.sequence)
        .await;
    worker.entry.set_keeps_ends(false);

    let last = worker.entry.reports().last().unwrap().sequence;
    worker
        .entry
        .report(|report| report.tasks.is_empty() && report.sequence > last)
        .await;
    assert_eq!(worker.runtime.run_intervals().len(), 1);
}

/// Guards against free room that the owner hears of only when a held answer has arrived.
#[tokio::test]
async fn end_of_a_task_is_reported_while_an_answer_is_held_back() {
    let worker = worker().await;
    worker.entry.set_hold(Duration::from_secs(2));
    worker
        .entry
        .order(|order| order.grants = vec![grant(0, 1, 300)]);
    until(|| worker.runtime.running_count() == 1).await;
    let begun = tokio::time::Instant::now();

    let is_finished = |report: &Report| state(report, 0) == Some(&TaskState::Finished);
    worker.entry.report(is_finished).await;

    let elapsed = begun.elapsed();
    assert!(elapsed < Duration::from_millis(1_500), "{elapsed:?}");
}

/// Guards against more tasks than the worker's resources hold, whatever the owner grants.
#[tokio::test]
async fn grant_beyond_the_capacity_is_refused() {
    let worker = worker().await;
    let grants = (0..6).map(|index| grant(index, 1, 60_000)).collect();
    worker.entry.set_keeps_ends(true);
    worker.entry.order(|order| order.grants = grants);

    let refused = TaskState::Refused {
        reason: Refusal::NoRoom,
    };
    let report = worker
        .entry
        .report(|report| state(report, 5) == Some(&refused))
        .await;
    until(|| worker.runtime.running_count() == 4).await;

    assert_eq!(state(&report, 4), Some(&refused));
    assert_eq!(worker.runtime.peak_resources().processors_milli, 4_000);
}

/// Guards against grants and stops of an owner that was replaced.
#[tokio::test]
async fn order_of_an_older_epoch_is_ignored() {
    let worker = worker().await;
    worker.entry.own(2);
    worker.entry.report(|report| report.epoch == 2).await;

    worker.entry.order(|order| {
        order.epoch = 1;
        order.grants = vec![grant(0, 1, 60_000)];
    });
    let seen = worker.entry.reports().len();
    until(|| worker.entry.reports().len() >= seen + 3).await;

    assert!(worker.runtime.run_intervals().is_empty());
}

/// Guards against an eviction that loses the work done.
#[tokio::test]
async fn stopped_task_is_reported_with_its_checkpoint() {
    let worker = worker().await;
    worker
        .entry
        .order(|order| order.grants = vec![grant(0, 1, 60_000)]);
    until(|| worker.runtime.running_count() == 1).await;
    tokio::time::sleep(Duration::from_millis(200)).await;

    worker.entry.order(|order| {
        order.stops = vec![Stop {
            task: task(0),
            attempt: Attempt::new(1, 1),
            with_checkpoint: true,
        }];
    });

    let is_stopped = |report: &Report| matches!(state(report, 0), Some(TaskState::Stopped { .. }));
    let report = worker.entry.report(is_stopped).await;
    let Some(TaskState::Stopped { checkpoint }) = state(&report, 0) else {
        unreachable!("the report was chosen for this state");
    };
    let done_ms: u64 = checkpoint.as_ref().unwrap().parse().unwrap();
    assert!(done_ms >= 200, "{done_ms}");
}

/// Guards against a throttle that does not reach the runtime, and against usage without its age.
#[tokio::test]
async fn throttled_task_reports_less_usage_with_its_age() {
    let worker = worker().await;
    worker.runtime.set_usage_lag(Duration::from_millis(500));
    worker
        .entry
        .order(|order| order.grants = vec![grant(0, 1, 60_000)]);
    until(|| worker.runtime.running_count() == 1).await;

    worker.entry.order(|order| {
        order.throttles = vec![Throttle {
            task: task(0),
            attempt: Attempt::new(1, 1),
            share_percent: 25,
        }];
    });

    let report = worker
        .entry
        .report(|report| {
            let mut usage = report.task_usage.iter();
            usage.any(|usage| usage.processors_milli == 250)
        })
        .await;
    assert!(report.task_usage[0].age_micros >= 500_000);
    let is_measured = |report: &Report| !report.service_usage.is_empty();
    worker.entry.report(is_measured).await;
}

/// Guards against a task that runs on after its lease, when its owner may have started it
/// elsewhere, against a lease that a late answer extends, and against losing the work done.
#[tokio::test]
async fn task_is_checkpointed_before_its_lease_ends() {
    let worker = worker().await;
    worker.entry.set_hold(Duration::from_secs(2));
    let last = worker.entry.reports().last().unwrap().sequence;
    worker.entry.report(|report| report.sequence > last).await;
    worker.entry.order(|order| {
        order.grants = vec![grant(0, 1, 60_000)];
    });
    until(|| worker.runtime.running_count() == 1).await;
    let granted = tokio::time::Instant::now();

    worker.entry.set_silent(true);
    until(|| worker.runtime.running_count() == 0).await;
    let elapsed = granted.elapsed();
    worker.entry.set_silent(false);

    // The grant came 2 s after the report was sent, and the stop leads the end by 2 s.
    assert!(elapsed < Duration::from_secs(7), "{elapsed:?}");
    assert_eq!(worker.runtime.state(&task(0)), Some(State::Stopped));
    let is_stopped = |report: &Report| {
        matches!(
            state(report, 0),
            Some(TaskState::Stopped {
                checkpoint: Some(_)
            })
        )
    };
    worker.entry.report(is_stopped).await;
}

/// Guards against a planned stop that loses the work of tasks or leaves them running.
#[tokio::test]
async fn graceful_stop_checkpoints_tasks_and_hands_them_back() {
    let worker = worker().await;
    worker
        .entry
        .order(|order| order.grants = vec![grant(0, 1, 60_000)]);
    until(|| worker.runtime.running_count() == 1).await;

    let is_clean = worker.companion.stop().await;

    let stopped = worker.entry.reports().into_iter().find(|report| {
        matches!(
            state(report, 0),
            Some(TaskState::Stopped {
                checkpoint: Some(_)
            })
        )
    });
    assert!(is_clean);
    assert!(stopped.unwrap().is_leaving);
    assert_eq!(worker.runtime.running_count(), 0);
    assert!(worker.entry.beats().pop().unwrap().is_drained);
}

/// Guards against a stop that reports success although nobody has taken the checkpoints over.
#[tokio::test]
async fn graceful_stop_without_an_acknowledgement_is_not_clean() {
    let upstream = upstream().await;
    let entry = Entry::start().await;
    let runtime = Runtime::start().await.unwrap();
    entry.own(1);
    let settings = settings(upstream.address())
        .entries([entry.address])
        .runtime(format!("http://{}", runtime.address()))
        .capacity(CAPACITY)
        .settle_ms(0)
        .stop_deadline_ms(1_500);
    let companion = companion(settings).await;
    entry.report(|report| !report.is_settling).await;
    entry.order(|order| order.grants = vec![grant(0, 1, 60_000)]);
    until(|| runtime.running_count() == 1).await;
    entry.set_keeps_ends(true);

    let is_clean = companion.stop().await;

    assert!(!is_clean);
    assert_eq!(runtime.state(&task(0)), Some(State::Stopped));
}

/// Guards against new tasks under a configuration that is known to be outdated.
#[tokio::test]
async fn grant_is_refused_while_a_newer_configuration_is_known() {
    let worker = worker().await;
    worker.entry.set_keeps_ends(true);
    worker.entry.order(|order| {
        order.revision = 9;
        order.grants = vec![grant(0, 1, 60_000)];
    });

    let refused = TaskState::Refused {
        reason: Refusal::StaleConfiguration,
    };
    worker
        .entry
        .report(|report| state(report, 0) == Some(&refused))
        .await;

    assert!(worker.runtime.run_intervals().is_empty());
}
