//! Watches the configuration in the store.

use std::sync::Arc;

use slog::{info, warn};
use tokio::time::{Duration, Instant, sleep};
use toucanquay_model::{Error, Revision};

use super::{Shared, owner::Event};
use crate::store::{self, Watch};

/// Timeout of a watch, which bounds the time until a dead connection is detected.
const WATCH_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Delay before a failed call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Runs until the entry stops.
pub(super) async fn run(shared: Arc<Shared>) {
    loop {
        if let Err(error) = read_and_watch(&shared).await {
            info!(shared.log, "configuration_unreachable"; "error" => %error);
            sleep(RETRY_DELAY).await;
        }
    }
}

/// Reads the configuration and applies its changes. Returns when the watched history is compacted.
async fn read_and_watch(shared: &Shared) -> Result<(), Error> {
    let key = shared.source.key.clone();
    let page = shared
        .store
        .page(&key, "", Instant::now() + store::PAGE_TIMEOUT)
        .await?;
    shared.record_store_response();
    for item in &page.items {
        apply(shared, &item.key, &item.value).await;
    }
    let mut revision: Revision = page.revision;
    loop {
        let deadline = Instant::now() + WATCH_TIMEOUT;
        match shared.store.watch(&key, revision, deadline).await? {
            Watch::Events {
                events,
                revision: next_revision,
            } => {
                shared.record_store_response();
                revision = next_revision;
                for event in events {
                    if let store::Event::Written(item) = event {
                        apply(shared, &item.key, &item.value).await;
                    }
                }
            }
            Watch::Compacted => return Ok(()),
        }
    }
}

async fn apply(shared: &Shared, key: &str, value: &[u8]) {
    if key != shared.source.key {
        return;
    }
    let configuration = match (shared.source.decode)(value) {
        Ok(configuration) => configuration,
        Err(error) => {
            warn!(shared.log, "configuration_unreadable"; "error" => %error);
            return;
        }
    };
    let (version, queues) = (configuration.version, configuration.queues.len());
    if shared.set_configuration(configuration) {
        info!(shared.log, "configuration_taken"; "version" => version, "queues" => queues);
        if let Some(mailbox) = shared.mailbox() {
            // Sending fails only if the owner is stopping and needs no configuration.
            let _ = mailbox.send(Event::ConfigurationChanged).await;
        }
    }
}
