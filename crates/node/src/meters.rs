//! Counters, gauges and histograms, listed in docs/OPERATIONS.md.
//!
//! Calls are no-ops unless the process installs a recorder.

use metrics::{counter, gauge, histogram};
use tokio::time::Instant;
use toucanquay_control::scheduler::Loss;
use toucanquay_model::session::Ending;

/// Records a store call by kind and outcome, and its duration except for watches, which wait for
/// changes.
pub fn record_store_call(call: &'static str, outcome: &'static str, started_at: Instant) {
    counter!("toucanquay_store_calls_total", "call" => call, "outcome" => outcome).increment(1);
    if call != "watch" {
        let seconds = started_at.elapsed().as_secs_f64();
        histogram!("toucanquay_store_call_seconds", "call" => call).record(seconds);
    }
}

/// Records a client request by method and status, and its duration.
pub fn record_request(method: &'static str, status: u16, started_at: Instant) {
    let status = status.to_string();
    counter!("toucanquay_requests_total", "method" => method, "status" => status).increment(1);
    let seconds = started_at.elapsed().as_secs_f64();
    histogram!("toucanquay_request_seconds", "method" => method).record(seconds);
}

/// Counts a task that the owner placed.
pub fn count_task_placed() {
    counter!("toucanquay_tasks_placed_total").increment(1);
}

/// Records a call to start a task on the worker by outcome, and its duration.
pub fn record_task_start(outcome: &'static str, started_at: Instant) {
    counter!("toucanquay_task_starts_total", "outcome" => outcome).increment(1);
    histogram!("toucanquay_task_start_seconds").record(started_at.elapsed().as_secs_f64());
}

/// Counts a call to stop a task on the worker by outcome.
pub fn count_task_stop(outcome: &'static str) {
    counter!("toucanquay_task_stops_total", "outcome" => outcome).increment(1);
}

/// Counts a call to set the pace of a task on the worker by outcome.
pub fn count_task_pace(outcome: &'static str) {
    counter!("toucanquay_task_paces_total", "outcome" => outcome).increment(1);
}

/// Counts an ended attempt by the way it ended.
pub fn count_task_end(ending: Ending) {
    let ending = format!("{ending:?}").to_lowercase();
    counter!("toucanquay_task_ends_total", "ending" => ending).increment(1);
}

/// Counts a copy of a late task that was started, was done first, or was stopped because the first
/// attempt was done.
pub fn count_task_copy(event: &'static str) {
    counter!("toucanquay_task_copies_total", "event" => event).increment(1);
}

/// Counts a worker whose attempts are lost, by reason.
pub fn count_worker_lost(reason: Loss) {
    let reason = format!("{reason:?}").to_lowercase();
    counter!("toucanquay_workers_lost_total", "reason" => reason).increment(1);
}

/// Counts a takeover of ownership.
pub fn count_takeover() {
    counter!("toucanquay_takeovers_total").increment(1);
}

/// Counts a lost session.
pub fn count_session_lost() {
    counter!("toucanquay_sessions_lost_total").increment(1);
}

/// Sets the owner's numbers of active jobs, running attempts, and jobs whose progress isn't yet
/// durably recorded.
pub fn set_owner_gauges(jobs: usize, attempts: usize, unrecorded: usize) {
    gauge!("toucanquay_jobs_active").set(jobs as f64);
    gauge!("toucanquay_attempts").set(attempts as f64);
    gauge!("toucanquay_jobs_unrecorded").set(unrecorded as f64);
}

/// Counts identifiers that were withdrawn.
pub fn count_jobs_withdrawn(jobs: usize) {
    counter!("toucanquay_jobs_withdrawn_total").increment(jobs as u64);
}

/// Sets the owner's number of withdrawals in the store.
pub fn set_withdrawn_jobs(jobs: usize) {
    gauge!("toucanquay_jobs_withdrawn").set(jobs as f64);
}

/// Sets the owner's number of perpetual tasks that have not run for 2 s.
pub fn set_lasting_tasks_waiting(tasks: usize) {
    gauge!("toucanquay_lasting_tasks_waiting").set(tasks as f64);
}

/// Counts the time for which perpetual tasks have not run, in milliseconds, by what they waited for.
pub fn count_lasting_wait(reason: &'static str, waited_ms: u64) {
    let counter =
        counter!("toucanquay_lasting_tasks_waited_milliseconds_total", "reason" => reason);
    counter.increment(waited_ms);
}

/// Sets the owner's number of evacuated zones.
pub fn set_evacuated_zones(zones: usize) {
    gauge!("toucanquay_zones_evacuated").set(zones as f64);
}

/// Counts waits of tasks for the rack that holds their data: those that have begun, and those that
/// have ended near the data or elsewhere.
pub fn count_rack_wait(outcome: &'static str, reason: &'static str) {
    let counter = counter!("toucanquay_rack_waits_total", "outcome" => outcome, "reason" => reason);
    counter.increment(1);
}

/// Counts tasks that were started on other racks than the one that holds their data.
pub fn count_far_starts(reason: &'static str, tasks: usize) {
    counter!("toucanquay_tasks_placed_far_total", "reason" => reason).increment(tasks as u64);
}

/// Sets the version of the entry's configuration.
pub fn set_configuration_version(version: u64) {
    gauge!("toucanquay_configuration_version").set(version as f64);
}

/// Sets the time at which the entry's configuration is known to have been the newest one, in
/// milliseconds since the Unix epoch.
pub fn set_configuration_confirmed(unix_ms: u64) {
    gauge!("toucanquay_configuration_confirmed_seconds").set(unix_ms as f64 / 1_000.0);
}
