//! Renews the worker's lease and follows its list of attempts.

use std::sync::Arc;

use slog::info;
use tokio::time::{Duration, Instant, sleep, timeout};
use toucanquay_control::runner::AttemptList;

use super::{Shared, executor};
use crate::{
    meters,
    worker::{Call, Reply},
};

/// Longest wait of a list for an end. It bounds the time until a start or a stop without an
/// outcome is resolved.
const WAIT_MS: u64 = 500;

/// The same where paces follow the latency that the worker reports, which it renews each 250 ms.
const SHARED_WAIT_MS: u64 = 125;

/// Time to wait for the acknowledgement of ends, without which a list doesn't wait.
const ACKNOWLEDGEMENT_WAIT: Duration = Duration::from_millis(100);

/// Time that a list may take beyond its wait.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Pause after a list that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Refused connections in a row after which the worker's process counts as gone.
const REFUSALS_MIN: u32 = 2;

/// Runs until the companion stops.
pub(super) async fn run(shared: Arc<Shared>) {
    let mut refusals = 0;
    loop {
        let has_ends = shared.runner().has_unacknowledged_ends();
        if has_ends {
            // The wait ends early when the owner's acknowledgement arrives.
            let _ = timeout(ACKNOWLEDGEMENT_WAIT, shared.look.notified()).await;
        }
        let wait_ms = match shared.runner().needs_pacing() {
            true => SHARED_WAIT_MS,
            false => WAIT_MS,
        };
        match list(&shared, wait_ms).await {
            Reply::Listing(listing) => {
                refusals = 0;
                apply(&shared, listing);
            }
            Reply::Gone => {
                refusals += 1;
                if refusals == REFUSALS_MIN {
                    lose(&shared);
                }
                let _ = timeout(RETRY_PAUSE, shared.look.notified()).await;
            }
            Reply::Outcome(_) => sleep(RETRY_PAUSE).await,
        }
    }
}

/// Calls the worker with the present epoch, so that it does nothing for an earlier owner.
pub(super) async fn fence(shared: Arc<Shared>) {
    if let Reply::Listing(listing) = list(&shared, 0).await {
        apply(&shared, listing);
        shared.changed.notify_one();
    }
}

async fn list(shared: &Shared, wait_ms_max: u64) -> Reply {
    let (call, wait_ms) = {
        let runner = shared.runner();
        let wait_ms = if runner.has_unacknowledged_ends() {
            0
        } else {
            wait_ms_max
        };
        let call = Call::Hold {
            epoch: runner.epoch(),
            lease_until: runner.lease_until(),
            acknowledged: runner.acknowledged(),
            wait_ms,
        };
        (call, wait_ms)
    };
    let deadline = Instant::now() + Duration::from_millis(wait_ms) + CALL_TIMEOUT;
    shared.worker.call(call, deadline).await
}

fn apply(shared: &Arc<Shared>, listing: AttemptList) {
    let (actions, is_urgent) = {
        let mut runner = shared.runner();
        let before = runner.digest();
        for end in &listing.finished {
            if end.number > runner.last_listed_end() {
                meters::ended(end.ending);
                info!(shared.log, "task_ended"; "task" => %end.task, "attempt" => end.attempt,
                    "ending" => ?end.ending, "number" => end.number);
            }
        }
        let actions = runner.apply_list(listing, shared.clock.now());
        (actions, runner.digest() != before)
    };
    executor::run(shared, actions);
    if is_urgent {
        shared.changed.notify_one();
    }
}

fn lose(shared: &Shared) {
    let mut runner = shared.runner();
    if runner.worker().is_some() {
        runner.mark_worker_exited();
        executor::log_gone(shared);
        shared.changed.notify_one();
    } else {
        info!(shared.log, "worker_absent");
    }
}
