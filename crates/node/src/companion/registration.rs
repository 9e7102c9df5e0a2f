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

/// Delay before a failed call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Time after which a stopping companion gives up the removal of its registration. It leaves the
/// rest of the grace period to the last call.
const REMOVAL_TIMEOUT: Duration = Duration::from_secs(3);

/// Interval at which the registration is checked and, if missing, restored.
const CHECK_INTERVAL_MICROS: u64 = 15_000_000;

/// Time without orders after which the owner may have removed the registration, in microseconds. It
/// removes that of a host which has had no session for 20 s.
const FORGOTTEN_MICROS: u64 = 18_000_000;

/// Interval at which the registration is checked while the owner may have removed it. The host isn't
/// used until it is restored.
const FORGOTTEN_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Runs until the companion stops.
pub(super) async fn run(shared: Arc<Shared>) {
    loop {
        match register(&shared).await {
            Ok(()) => wait_for_check(&shared).await,
            Err(error) => {
                debug!(shared.log, "registration_failed"; "error" => %error);
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Waits until the registration is to be checked again. The times count suspensions.
async fn wait_for_check(shared: &Shared) {
    let check_at = shared.clock.now().plus_micros(CHECK_INTERVAL_MICROS);
    loop {
        sleep(FORGOTTEN_CHECK_INTERVAL).await;
        let ordered_at = shared.runner().ordered_at();
        let forgotten_at = ordered_at.plus_micros(FORGOTTEN_MICROS);
        if shared.clock.now() >= check_at.min(forgotten_at) {
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
