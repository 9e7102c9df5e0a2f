//! Executes one action of the agent at the task runtime.

use slog::{Logger, info, warn};
use toucanquay_control::agent::{Action, Event, Outcome};
use toucanquay_model::{Attempt, Time, exchange::Grant, task};
use toucanquay_wire::Clock;

use super::runtime_client::{CallError, LEASE_CALL_TIMEOUT_MS, RuntimeClient};

/// Executes one action and returns the resulting event, if the agent needs it.
pub async fn execute(
    runtime: &RuntimeClient,
    clock: Clock,
    log: &Logger,
    action: Action,
) -> Option<Event> {
    match action {
        Action::Start { grant, deadline } => start(runtime, clock, log, &grant, deadline).await,
        Action::Renew {
            task,
            attempt,
            deadline,
        } => renew(runtime, clock, log, &task, attempt, deadline).await,
        Action::Stop {
            task,
            attempt,
            with_checkpoint,
        } => stop(runtime, clock, log, &task, attempt, with_checkpoint).await,
        Action::Throttle {
            task,
            attempt,
            share_percent,
        } => {
            let result = runtime.throttle(&task, share_percent).await;
            info!(log, "task_throttled"; "task" => %task, "attempt" => %attempt,
                "share_percent" => share_percent, "is_done" => result.is_ok());
            None
        }
        Action::Forget { task, attempt } => {
            // If this fails, the result stays listed, and is reported and acknowledged again.
            let _ = runtime.stop(&task, attempt, false).await;
            None
        }
        Action::List => list(runtime, clock, log).await,
    }
}

/// Requests the list of attempts.
pub async fn list(runtime: &RuntimeClient, clock: Clock, log: &Logger) -> Option<Event> {
    let called_at = clock.now();
    match runtime.list().await {
        Ok(attempts) => Some(Event::Listed {
            called_at,
            tasks: attempts.into_listed(called_at),
        }),
        Err(error) => {
            warn!(log, "task_list_failed"; "reason" => ?error);
            None
        }
    }
}

async fn start(
    runtime: &RuntimeClient,
    clock: Clock,
    log: &Logger,
    grant: &Grant,
    deadline: Time,
) -> Option<Event> {
    let result = match lease_ms(deadline, clock) {
        Some(lease_ms) => runtime.start(grant, lease_ms).await,
        None => Err(CallError::NotDone("the lease has expired".to_owned())),
    };
    info!(log, "task_start"; "task" => %grant.task, "attempt" => %grant.attempt,
        "epoch" => grant.attempt.epoch, "result" => ?result);
    let outcome = match result {
        Ok(()) => Outcome::Started,
        Err(CallError::Unknown(_)) => Outcome::StartUnanswered,
        // This attempt is listed already, so it has run. Only the list tells how it ended.
        Err(CallError::Conflict(listed)) if listed == grant.attempt => {
            return list(runtime, clock, log).await;
        }
        Err(CallError::NotDone(_) | CallError::Conflict(_) | CallError::Absent) => {
            Outcome::StartRefused
        }
    };
    Some(Event::Task {
        task: grant.task.clone(),
        attempt: grant.attempt,
        outcome,
    })
}

async fn renew(
    runtime: &RuntimeClient,
    clock: Clock,
    log: &Logger,
    task: &task::Id,
    attempt: Attempt,
    deadline: Time,
) -> Option<Event> {
    let lease_ms = lease_ms(deadline, clock)?;
    match runtime.renew(task, attempt, lease_ms).await {
        Ok(()) => None,
        // The attempt has ended.
        Err(CallError::Absent | CallError::Conflict(_)) => list(runtime, clock, log).await,
        Err(error) => {
            warn!(log, "task_renew_failed"; "task" => %task, "attempt" => %attempt,
                "reason" => ?error);
            None
        }
    }
}

/// Stops an attempt. Its result is taken from the list, since it may have ended by itself.
async fn stop(
    runtime: &RuntimeClient,
    clock: Clock,
    log: &Logger,
    task: &task::Id,
    attempt: Attempt,
    with_checkpoint: bool,
) -> Option<Event> {
    let has_ended = !with_checkpoint && has_ended(runtime, task, attempt).await;
    if !has_ended {
        // An ended attempt is not stopped without a checkpoint, since the runtime would forget its
        // result.
        let called_at = clock.now();
        let result = runtime.stop(task, attempt, with_checkpoint).await;
        info!(log, "task_stop"; "task" => %task, "attempt" => %attempt,
            "epoch" => attempt.epoch, "with_checkpoint" => with_checkpoint,
            "result" => ?result);
        if result == Err(CallError::Absent) {
            return Some(Event::Task {
                task: task.clone(),
                attempt,
                outcome: Outcome::Absent { called_at },
            });
        }
    }
    list(runtime, clock, log).await
}

async fn has_ended(runtime: &RuntimeClient, task: &task::Id, attempt: Attempt) -> bool {
    let Ok(attempts) = runtime.list().await else {
        return false;
    };
    let listed = attempts.into_listed(Time::ZERO);
    listed.iter().any(|listed| {
        listed.task == *task && listed.attempt == attempt && !listed.state.holds_resources()
    })
}

/// Returns the lease duration for a call, such that the lease expires by `deadline` even if the
/// call takes its whole timeout. Returns `None` if there is no time left.
fn lease_ms(deadline: Time, clock: Clock) -> Option<u64> {
    let remaining_ms = deadline.micros_since(clock.now()) / 1_000;
    remaining_ms
        .checked_sub(LEASE_CALL_TIMEOUT_MS)
        .filter(|lease_ms| *lease_ms > 0)
}
