//! Registers the companion in the store.

use std::sync::Arc;

use slog::{debug, info, warn};
use tokio::time::{Duration, Instant, sleep};
use toucanquay_model::{Error, ErrorKind};

use super::Shared;
use crate::{
    entry::Registration,
    key,
    store::{Commit, Transaction},
};

/// Timeout of one call to the store.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Minimum delay before a failed call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Maximum delay before a failed check is repeated. In an outage, all companions repeat theirs.
const RETRY_DELAY_MAX: Duration = Duration::from_millis(2_000);

/// Time after which a stopping companion gives up the removal of its registration. It leaves the
/// rest of the grace period to the last call.
const REMOVAL_TIMEOUT: Duration = Duration::from_secs(3);

/// Interval at which the registration is checked and, if missing, restored.
const CHECK_INTERVAL_MS: u64 = 15_000;

/// The same while no owner gives orders, which may be because the registration is missing. It exceeds
/// the time without an owner at a takeover, after which all companions would read the store.
const UNHEARD_CHECK_INTERVAL_MS: u64 = 3_000;

/// Interval at which it is determined whether a check is due.
const TICK_INTERVAL: Duration = Duration::from_millis(500);

/// Runs until the companion stops.
pub(super) async fn run(shared: Arc<Shared>) {
    // No owner uses the host before the first registration.
    let mut retry_delay_max = RETRY_DELAY;
    let mut retry_delay = RETRY_DELAY;
    loop {
        match register(&shared).await {
            Ok(()) => {
                retry_delay = RETRY_DELAY;
                retry_delay_max = RETRY_DELAY_MAX;
                next_check(&shared).await;
            }
            Err(error) => {
                debug!(shared.log, "registration_failed"; "error" => %error);
                sleep(retry_delay).await;
                retry_delay = (retry_delay * 2).min(retry_delay_max);
            }
        }
    }
}

/// Waits until the registration is to be checked again.
async fn next_check(shared: &Shared) {
    let checked_at = shared.clock.now();
    let due_at = checked_at.plus_millis(CHECK_INTERVAL_MS);
    loop {
        sleep(TICK_INTERVAL).await;
        let now = shared.clock.now();
        let unheard_since = checked_at.max(shared.owner_heard_at());
        let unheard_due_at = unheard_since.plus_millis(UNHEARD_CHECK_INTERVAL_MS);
        if now >= due_at.min(unheard_due_at) {
            return;
        }
    }
}

/// Removes the registration, so that no later owner waits for attempts that may run on this host.
/// Retries until it is removed or [`REMOVAL_TIMEOUT`] has passed.
pub(super) async fn deregister(shared: &Shared) {
    let give_up_at = Instant::now() + REMOVAL_TIMEOUT;
    while let Err(error) = remove_registration(shared).await {
        info!(shared.log, "unregistering_failed"; "error" => %error);
        if Instant::now() >= give_up_at {
            // The owner removes the registration of a host that stays disconnected.
            return;
        }
        sleep(RETRY_DELAY).await;
    }
    info!(shared.log, "unregistered");
}

async fn remove_registration(shared: &Shared) -> Result<(), Error> {
    let key = key::host(&shared.settings.name);
    let deadline = Instant::now() + CALL_TIMEOUT;
    let transaction = match shared.store.get(&key, deadline).await {
        Ok(None) => return Ok(()),
        Ok(Some(item)) => Transaction::default().expect_revision(key.clone(), item.revision),
        // Its revision is unknown. A later process on this host registers again.
        Err(error) if error.kind() == ErrorKind::Protocol => Transaction::default(),
        Err(error) => return Err(error),
    };
    let removal = transaction.remove(key);
    match shared.store.commit(removal, deadline).await? {
        Commit::Done(_) => Ok(()),
        // A registration that was sent before the stop was applied only now.
        Commit::Conflict { .. } => Err(Error::new(ErrorKind::OutcomeUnknown)),
    }
}

async fn register(shared: &Shared) -> Result<(), Error> {
    let settings = &shared.settings;
    let key = key::host(&settings.name);
    let registration = Registration {
        address: settings.listen,
        process: settings.process,
    };
    let value = registration.to_bytes();
    let deadline = Instant::now() + CALL_TIMEOUT;
    let current = match shared.store.get(&key, deadline).await {
        // What can't be read is not this registration, and is replaced by it.
        Err(error) if error.kind() == ErrorKind::Protocol => Err(error),
        found => Ok(found?),
    };
    if matches!(&current, Ok(Some(item)) if item.value == value) {
        return Ok(());
    }
    let transaction = Transaction::default().put(key, value);
    shared.store.commit(transaction, deadline).await?;
    if let Err(error) = current {
        warn!(shared.log, "registration_replaced"; "error" => %error);
    }
    info!(shared.log, "registered"; "address" => %settings.listen);
    Ok(())
}
