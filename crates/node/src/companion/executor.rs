//! Executes the runner's actions.

use std::sync::Arc;

use slog::{info, warn};
use tokio::time::{Duration, Instant};
use toucanquay_control::runner::{Action, CallOutcome};
use toucanquay_model::{
    Time,
    graph::Task,
    session::{Start, Stop},
};

use super::Shared;
use crate::{
    meters,
    worker::{Call, Reply},
};

/// Timeout of one call to the worker.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Spawns a task for each action. The outcomes are reported back to the runner.
pub(super) fn run(shared: &Arc<Shared>, actions: Vec<Action>) {
    for action in actions {
        let shared = shared.clone();
        tokio::spawn(async move {
            match action {
                Action::Start { start, lease_until } => do_start(&shared, start, lease_until).await,
                Action::Stop(stop) => do_stop(&shared, stop).await,
                Action::Pace {
                    task,
                    attempt,
                    percent,
                    latency_percent,
                } => do_pace(&shared, (task, attempt), percent, latency_percent).await,
            }
        });
    }
}

async fn do_start(shared: &Arc<Shared>, start: Start, lease_until: Time) {
    let (task, attempt) = (start.task, start.attempt);
    // Much may have changed since the order, if this process was suspended.
    let begun = {
        let now = shared.clock.now();
        shared.runner().begin_start(task, attempt, now)
    };
    let Some((epoch, worker)) = begun else {
        info!(shared.log, "task_start_dropped"; "task" => %task, "attempt" => attempt);
        shared.update_needed.notify_one();
        return;
    };
    let call = Call::Start {
        epoch,
        start,
        worker,
        lease_until,
    };
    let called_at = Instant::now();
    let outcome = call_outcome(&shared.worker.call(call, called_at + CALL_TIMEOUT).await);
    meters::record_task_start(outcome_label(outcome), called_at);
    info!(shared.log, "task_start"; "task" => %task, "attempt" => attempt, "epoch" => epoch,
        "outcome" => ?outcome);
    let now = shared.clock.now();
    let pace_action = shared
        .runner()
        .record_start_outcome(task, attempt, outcome, now);
    run(shared, pace_action.into_iter().collect());
    // A start that took effect is part of the next update; the owner need not act on it.
    if outcome != CallOutcome::Done {
        shared.update_needed.notify_one();
    }
}

async fn do_stop(shared: &Shared, stop: Stop) {
    let begun = shared.runner().begin_stop(stop.task, stop.attempt);
    let Some(epoch) = begun else {
        info!(shared.log, "task_stop_dropped"; "task" => %stop.task, "attempt" => stop.attempt);
        return;
    };
    let call = Call::Stop { epoch, stop };
    let outcome = call_outcome(
        &shared
            .worker
            .call(call, Instant::now() + CALL_TIMEOUT)
            .await,
    );
    meters::count_task_stop(outcome_label(outcome));
    info!(shared.log, "task_stop"; "task" => %stop.task, "attempt" => stop.attempt,
        "epoch" => epoch, "outcome" => ?outcome);
    let now = shared.clock.now();
    shared
        .runner()
        .record_stop_outcome(stop.task, stop.attempt, outcome, now);
    shared.list_needed.notify_one();
}

async fn do_pace(
    shared: &Shared,
    (task, attempt): (Task, u64),
    percent: u8,
    latency_percent: Option<u32>,
) {
    let epoch = shared.runner().epoch();
    let call = Call::Pace {
        epoch,
        task,
        attempt,
        percent,
    };
    let outcome = call_outcome(
        &shared
            .worker
            .call(call, Instant::now() + CALL_TIMEOUT)
            .await,
    );
    meters::count_task_pace(outcome_label(outcome));
    info!(shared.log, "task_pace"; "task" => %task, "attempt" => attempt, "percent" => percent,
        "latency_percent" => latency_percent, "outcome" => ?outcome);
    let now = shared.clock.now();
    shared
        .runner()
        .record_pace_outcome(task, attempt, outcome, now);
}

fn call_outcome(reply: &Reply) -> CallOutcome {
    match reply {
        Reply::Outcome(outcome) => *outcome,
        Reply::ConnectionRefused => CallOutcome::Refused,
        Reply::Attempts(_) => CallOutcome::Unknown,
    }
}

/// Logs that the worker's process has exited.
pub(super) fn log_worker_exit(shared: &Shared) {
    warn!(shared.log, "worker_gone"; "reason" => "its address refuses connections");
}

const fn outcome_label(outcome: CallOutcome) -> &'static str {
    match outcome {
        CallOutcome::Done => "done",
        CallOutcome::Unavailable => "unavailable",
        CallOutcome::Refused => "refused",
        CallOutcome::Unknown => "unknown",
    }
}
