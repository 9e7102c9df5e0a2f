//! Log lines of the scheduler's events.

use slog::{Logger, info, o, warn};
use toucanquay_control::scheduler::{Event as SchedulerEvent, Reason, Wait};
use toucanquay_model::{Epoch, graph::Task};

use crate::meters;

/// Writes the line of an event of the scheduler of `epoch`.
pub(super) fn write(log: &Logger, epoch: Epoch, event: SchedulerEvent) {
    match event {
        SchedulerEvent::JobOver { job, state, reason } => {
            info!(log, "job_over"; "job" => %job, "state" => ?state, "reason" => reason,
                "epoch" => epoch);
        }
        SchedulerEvent::CancelledEarly { job } => {
            info!(log, "job_cancelled_early"; "job" => %job, "epoch" => epoch);
        }
        SchedulerEvent::Adopted {
            task,
            attempt,
            host,
        } => {
            info!(log, "task_adopted"; "task" => %task, "attempt" => attempt, "host" => host,
                "epoch" => epoch);
        }
        SchedulerEvent::Failed {
            task,
            failures,
            host,
        } => {
            info!(log, "task_failed"; "task" => %task, "failures" => failures, "host" => host,
                "epoch" => epoch);
        }
        SchedulerEvent::WorkerLost {
            host,
            reason,
            attempts,
        } => {
            meters::count_worker_lost(reason);
            warn!(log, "worker_lost"; "host" => host, "reason" => ?reason,
                "attempts" => attempts, "epoch" => epoch);
        }
        SchedulerEvent::Suspected {
            task,
            attempt,
            host,
            crashes,
            suspects,
        } => {
            warn!(log, "task_suspected"; "task" => %task, "attempt" => attempt,
                "host" => host, "crashes" => crashes, "suspects" => suspects,
                "epoch" => epoch);
        }
        SchedulerEvent::Cleared { task } => {
            info!(log, "task_cleared"; "task" => %task, "epoch" => epoch);
        }
        SchedulerEvent::Draining { host, moved } => {
            info!(log, "worker_draining"; "host" => host, "moved" => moved, "epoch" => epoch);
        }
        SchedulerEvent::Moved {
            task,
            attempt,
            host,
        } => {
            info!(log, "task_moved"; "task" => %task, "attempt" => attempt, "host" => host,
                "reason" => "neighbours allow hardly any speed", "epoch" => epoch);
        }
        SchedulerEvent::MovedFromSlowHost {
            task,
            attempt,
            host,
            speed_percent,
        } => {
            info!(log, "task_moved"; "task" => %task, "attempt" => attempt, "host" => host,
                "speed_percent" => speed_percent, "epoch" => epoch, "reason" => "host is slow");
        }
        SchedulerEvent::CopyStarted {
            task,
            attempt,
            host,
            first_host,
            elapsed_ms,
            typical_ms,
        } => {
            meters::count_task_copy("started");
            info!(log, "copy_started"; "task" => %task, "attempt" => attempt, "host" => host,
                "first_host" => first_host, "elapsed_ms" => elapsed_ms,
                "typical_ms" => typical_ms, "epoch" => epoch);
        }
        SchedulerEvent::CopyWon {
            task,
            attempt,
            host,
        } => {
            meters::count_task_copy("won");
            info!(log, "copy_won"; "task" => %task, "attempt" => attempt, "host" => host,
                "epoch" => epoch);
        }
        SchedulerEvent::CopyLost {
            task,
            attempt,
            host,
        } => {
            meters::count_task_copy("lost");
            info!(log, "copy_lost"; "task" => %task, "attempt" => attempt, "host" => host,
                "epoch" => epoch);
        }
        SchedulerEvent::MadeRoom {
            task,
            attempt,
            host,
            new_host,
            job,
        } => {
            info!(log, "task_moved"; "task" => %task, "attempt" => attempt, "host" => host,
                "new_host" => new_host, "for_job" => %job, "epoch" => epoch,
                "reason" => "room for another perpetual task");
        }
        SchedulerEvent::RackWaitBegun {
            task,
            tasks,
            rack,
            remaining_ms,
            bound,
        } => {
            meters::count_rack_wait("begun", bound.label());
            info!(log, "rack_wait_begun"; "task" => %task, "tasks" => tasks, "rack" => rack,
                "remaining_ms" => remaining_ms, "bound" => bound.label(), "epoch" => epoch);
        }
        SchedulerEvent::RackWaitEnded {
            task,
            waited_ms,
            far,
        } => {
            let outcome = if far.is_some() { "far" } else { "near" };
            let reason = far.map_or("placed", Reason::label);
            meters::count_rack_wait(outcome, reason);
            info!(log, "rack_wait_ended"; "task" => %task, "waited_ms" => waited_ms,
                "outcome" => outcome, "reason" => reason, "epoch" => epoch);
        }
        SchedulerEvent::PlacedFar {
            task,
            tasks,
            rack,
            reason,
        } => {
            meters::count_far_starts(reason.label(), tasks);
            info!(log, "tasks_placed_far"; "task" => %task, "tasks" => tasks, "rack" => rack,
                "reason" => reason.label(), "epoch" => epoch);
        }
        SchedulerEvent::Kept { host, job } => {
            info!(log, "host_kept"; "host" => host, "job" => %job, "epoch" => epoch);
        }
        SchedulerEvent::Released { host } => {
            info!(log, "host_released"; "host" => host, "epoch" => epoch);
        }
        SchedulerEvent::Waiting {
            task,
            waited_ms,
            wait,
        } => write_wait(&log.new(o!("epoch" => epoch)), task, waited_ms, &wait),
        SchedulerEvent::WaitsSuppressed { tasks } => {
            warn!(log, "tasks_waiting"; "suppressed" => tasks, "epoch" => epoch);
        }
        SchedulerEvent::Evacuated {
            zone,
            hosts,
            attempts,
        } => {
            info!(log, "zone_evacuated"; "zone" => zone, "hosts" => hosts,
                "attempts" => attempts, "epoch" => epoch);
        }
        SchedulerEvent::TakenBack { zone, hosts } => {
            info!(log, "zone_taken_back"; "zone" => zone, "hosts" => hosts, "epoch" => epoch);
        }
        SchedulerEvent::EvacuationsOutdated { age_ms } => {
            warn!(log, "evacuations_outdated"; "age_ms" => age_ms, "epoch" => epoch,
                "effect" => "nothing is started");
        }
        SchedulerEvent::EvacuationsConfirmed => {
            info!(log, "evacuations_confirmed"; "epoch" => epoch);
        }
        SchedulerEvent::JobEvacuated { job, step, zone } => {
            info!(log, "job_waiting"; "job" => %job, "step" => step, "reason" => "evacuated",
                "zone" => zone, "epoch" => epoch);
        }
        SchedulerEvent::TakeoverWaiting {
            waited_ms,
            hosts,
            names,
            jobs,
        } => {
            info!(log, "takeover_waiting"; "waited_ms" => waited_ms, "hosts" => hosts,
                "names" => names.join(","), "jobs" => jobs, "epoch" => epoch);
        }
        SchedulerEvent::TakeoverCompleted {
            waited_ms,
            unreported,
        } => {
            let by = if unreported == 0 {
                "all hosts"
            } else {
                "end of the lease"
            };
            info!(log, "takeover_completed"; "waited_ms" => waited_ms, "by" => by,
                "unreported" => unreported, "epoch" => epoch);
        }
    }
}

/// Writes why a task that lasts waits.
fn write_wait(log: &Logger, task: Task, waited_ms: u64, wait: &Wait) {
    let (reason, host) = (wait.label(), wait.host());
    match wait {
        Wait::Takeover { hosts, .. } => {
            info!(log, "task_waiting"; "task" => %task, "waited_ms" => waited_ms,
                "reason" => reason, "host" => host, "hosts" => hosts);
        }
        Wait::Backoff { remaining_ms } => {
            info!(log, "task_waiting"; "task" => %task, "waited_ms" => waited_ms,
                "reason" => reason, "remaining_ms" => remaining_ms);
        }
        Wait::NoRoom {
            lack,
            free_milli,
            pool_free_milli,
            demand_milli,
        } => {
            info!(log, "task_waiting"; "task" => %task, "waited_ms" => waited_ms,
                "reason" => reason, "lack" => lack.label(), "free_milli" => free_milli,
                "pool_free_milli" => pool_free_milli, "demand_milli" => demand_milli);
        }
        Wait::Evacuated { zone, .. } => {
            info!(log, "task_waiting"; "task" => %task, "waited_ms" => waited_ms,
                "reason" => reason, "host" => host, "zone" => zone);
        }
        Wait::Reserved { is_begun, .. } => {
            info!(log, "task_waiting"; "task" => %task, "waited_ms" => waited_ms,
                "reason" => reason, "host" => host, "is_begun" => is_begun);
        }
        _ => {
            info!(log, "task_waiting"; "task" => %task, "waited_ms" => waited_ms,
                "reason" => reason, "host" => host);
        }
    }
}
