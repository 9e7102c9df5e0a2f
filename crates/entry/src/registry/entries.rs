//! Entries in the store.

use std::sync::Arc;

use slog::{info, warn};
use tokio::time::Duration;
use toucanquay_store::{Event, Expected, PutOutcome};

use crate::{Context, member::Peer};

/// Keys of entries: this and the name.
const PREFIX: &str = "entry/";

/// Lease of an entry's key. It outlives short outages of the store, since a peer that is gone
/// costs the others only a refused connection.
const LEASE: Duration = Duration::from_secs(30);

/// Time between two renewals of the lease.
const RENEWAL: Duration = Duration::from_secs(10);

/// Time before another try.
const RETRY: Duration = Duration::from_secs(1);

/// Waits before another try at the store, which itself backs off.
pub(super) async fn pause() {
    tokio::time::sleep(RETRY).await;
}

/// Keeps this entry registered.
pub async fn register(context: Arc<Context>) {
    loop {
        match announce(&context).await {
            Ok(lease) => keep(&context, lease).await,
            Err(error) => warn!(context.log, "entry_not_registered"; "error" => %error),
        }
        pause().await;
    }
}

/// Removes this entry, so that others do not call it any more.
pub async fn withdraw(context: &Context) {
    let key = key(&context.settings.name);
    if let Err(error) = context.store.delete(&key, Expected::Any).await {
        warn!(context.log, "entry_not_withdrawn"; "error" => %error);
    }
}

/// Follows the other entries.
pub(super) async fn watch(context: &Arc<Context>) {
    loop {
        let Ok(range) = context.store.range(PREFIX).await else {
            pause().await;
            continue;
        };
        for item in &range.items {
            learn(context, &item.key, Some(&item.value));
        }
        let mut watch = context.store.watch(PREFIX, range.revision);
        while let Event::Change(change) = watch.next().await {
            learn(context, &change.key, change.value.as_deref());
        }
    }
}

async fn announce(context: &Context) -> Result<u64, toucanquay_model::Error> {
    let lease = context.store.grant(LEASE).await?;
    let peer = Peer {
        incarnation: context.incarnation,
        address: context.settings.peer_listen,
        revision: 0,
        revision_companions: None,
    };
    let value = serde_json::to_string(&peer).expect("a peer is plain data with string keys");
    let key = key(&context.settings.name);
    let put = context
        .store
        .put(&key, &value, Expected::Any, Some(lease.id))
        .await?;
    if let PutOutcome::Stored(revision) = put {
        info!(context.log, "entry_registered"; "revision" => revision);
    }
    Ok(lease.id)
}

async fn keep(context: &Context, lease: u64) {
    loop {
        tokio::time::sleep(RENEWAL).await;
        match context.store.keep_alive(lease).await {
            Ok(Some(_)) => {}
            Ok(None) => return,
            Err(error) => warn!(context.log, "entry_lease_not_renewed"; "error" => %error),
        }
    }
}

fn learn(context: &Context, key: &str, value: Option<&str>) {
    let Some(name) = key.strip_prefix(PREFIX) else {
        return;
    };
    if name == context.settings.name {
        return;
    }
    let Some(value) = value else {
        context.peers().remove(name);
        info!(context.log, "entry_left"; "entry" => name);
        return;
    };
    match serde_json::from_str::<Peer>(value) {
        Ok(peer) => {
            context.peers().insert(name.to_owned(), peer);
        }
        Err(error) => warn!(context.log, "entry_unreadable"; "entry" => name, "error" => %error),
    }
}

fn key(name: &str) -> String {
    format!("{PREFIX}{name}")
}
