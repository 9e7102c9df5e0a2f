//! Renews the worker's lease and processes its list of attempts.

use std::sync::Arc;

use slog::{info, warn};
use tokio::time::{Duration, Instant, sleep, timeout, timeout_at};
use toucanquay_control::runner::{AttemptList, CallOutcome};
use toucanquay_model::Time;

use super::{Shared, executor};
use crate::{
    meters,
    worker::{Call, Reply},
};

/// Long-poll timeout of a list. It bounds the time until a start or stop with an unknown outcome is
/// resolved.
const LIST_WAIT_MS: u64 = 500;

/// Long-poll timeout while attempts are paced by the latency that the worker reports, which it
/// updates every 250 ms, while the owner waits to learn whether the worker outlives a start or has
/// an attempt, or after a failed list.
const URGENT_WAIT_MS: u64 = 125;

/// Time to wait for ended attempts to be acknowledged before the next list. A list returns at once
/// while any are unacknowledged.
const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_millis(100);

/// Time that the response to a list may take in addition to the long-poll timeout.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Minimum time between two requests for a list while no ends are unacknowledged. A worker may
/// respond at once, whatever the long-poll timeout is.
const LIST_INTERVAL_MIN: Duration = Duration::from_millis(100);

/// Delay before a failed list is retried.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Runs until the companion stops.
pub(super) async fn run(shared: Arc<Shared>) {
    let mut has_failed = false;
    loop {
        let has_ends = shared.runner().has_unacknowledged_ends();
        if has_ends {
            // The wait ends early when the owner's acknowledgement arrives.
            let _ = timeout(ACKNOWLEDGEMENT_TIMEOUT, shared.list_needed.notified()).await;
        }
        let is_urgent = {
            let runner = shared.runner();
            has_failed
                || runner.needs_pacing()
                || runner.has_probe()
                || runner.has_unresolved_attempt()
        };
        let wait_ms = if is_urgent {
            URGENT_WAIT_MS
        } else {
            LIST_WAIT_MS
        };
        let next_list_at = Instant::now() + LIST_INTERVAL_MIN;
        let reply = renew_lease(&shared, wait_ms).await;
        has_failed = !matches!(reply, Reply::Attempts(_));
        if has_failed {
            record_failed_list(&shared);
        }
        match reply {
            Reply::Attempts(list) => {
                let is_partial = list.is_partial;
                handle_list(&shared, list);
                if is_partial {
                    // The worker returns unacknowledged ends at once, also those that can't be
                    // read.
                    sleep(RETRY_DELAY).await;
                }
                let has_ends = shared.runner().has_unacknowledged_ends();
                if !has_ends {
                    let _ = timeout_at(next_list_at, shared.list_needed.notified()).await;
                }
            }
            Reply::ConnectionRefused => {
                record_refusal(&shared);
                let _ = timeout(RETRY_DELAY, shared.list_needed.notified()).await;
            }
            Reply::Outcome(outcome) => {
                // Without an answer, there is no sign that the process lives on.
                if outcome != CallOutcome::Unknown {
                    shared.runner().record_answer();
                }
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Calls the worker with the current epoch, so that it rejects calls for earlier owners.
pub(super) async fn fence_worker(shared: Arc<Shared>) {
    if let Reply::Attempts(list) = renew_lease(&shared, 0).await {
        handle_list(&shared, list);
        shared.update_needed.notify_one();
    }
}

async fn renew_lease(shared: &Shared, wait_ms_max: u64) -> Reply {
    let (call, wait_ms) = {
        let runner = shared.runner();
        let wait_ms = if runner.has_unacknowledged_ends() {
            0
        } else {
            wait_ms_max
        };
        let worker = runner.worker().map(|_| runner.worker_id().to_owned());
        // An incarnation that has not announced itself is only listed.
        let lease_until = match worker {
            Some(_) => runner.lease_until(),
            None => Time::ZERO,
        };
        let call = Call::RenewLease {
            epoch: runner.epoch(),
            worker,
            lease_until,
            acknowledged: runner.acknowledged(),
            wait_ms,
        };
        (call, wait_ms)
    };
    let deadline = Instant::now() + Duration::from_millis(wait_ms) + CALL_TIMEOUT;
    shared.worker.call(call, deadline).await
}

fn handle_list(shared: &Arc<Shared>, list: AttemptList) {
    let incarnation = list.incarnation;
    let (actions, has_changed, is_exit_refuted) = {
        let mut runner = shared.runner();
        let had_exited = runner.has_worker_exited();
        let digest_before = runner.digest();
        for end in &list.finished {
            if end.number > runner.last_listed_end() {
                meters::count_task_end(end.ending);
                info!(shared.log, "task_ended"; "task" => %end.task, "attempt" => end.attempt,
                    "ending" => ?end.ending, "number" => end.number);
            }
        }
        let actions = runner.apply_list(list, shared.clock.now());
        let is_present = had_exited && !runner.has_worker_exited();
        let (former_incarnation, ..) = digest_before;
        let is_exit_refuted = is_present && runner.digest().0 < former_incarnation;
        (actions, runner.digest() != digest_before, is_exit_refuted)
    };
    if is_exit_refuted {
        warn!(shared.log, "worker_lives"; "incarnation" => incarnation,
            "reason" => "it answers after its address refused connections");
    }
    executor::run(shared, actions);
    if has_changed {
        shared.update_needed.notify_one();
    }
}

/// Tells the owner once the worker counts as silent, so that it is given no more tasks, and its
/// lease is not extended.
fn record_failed_list(shared: &Shared) {
    if shared.runner().record_failed_list(shared.clock.now()) {
        warn!(shared.log, "worker_silent"; "reason" => "its lists fail");
        shared.update_needed.notify_one();
    }
}

fn record_refusal(shared: &Shared) {
    if shared.runner().record_refusal(shared.clock.now()) {
        executor::log_worker_exit(shared);
        shared.update_needed.notify_one();
    }
}
