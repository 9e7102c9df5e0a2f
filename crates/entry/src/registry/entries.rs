//! Registration of entries in the store.

use std::{collections::HashSet, sync::Arc};

use slog::{info, warn};
use tokio::time::Duration;
use toucanquay_store::{Event, Expected, PutOutcome, Range};

use crate::{Context, membership::Peer};

/// Prefix of the keys of entries, followed by the name.
const KEY_PREFIX: &str = "entry/";

/// Duration of the lease of an entry's key. It outlasts short outages of the store; a stale key
/// costs the other entries only a refused connection.
const LEASE_TTL: Duration = Duration::from_secs(30);

/// Interval between renewals of the lease.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(10);

/// Delay before a retry.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Waits before a retry. The delay is constant, since the store client itself backs off.
pub(super) async fn wait_before_retry() {
    tokio::time::sleep(RETRY_DELAY).await;
}

/// Registers this entry and keeps it registered.
pub async fn register(context: Arc<Context>) {
    loop {
        match register_once(&context).await {
            Ok(lease) => renew_lease(&context, lease).await,
            Err(error) => warn!(context.log, "entry_registration_failed"; "error" => %error),
        }
        wait_before_retry().await;
    }
}

/// Removes the registration of this entry, so that other entries stop calling it.
pub async fn deregister(context: &Context) {
    let key = entry_key(&context.settings.name);
    if let Err(error) = context.store.delete(&key, Expected::Any).await {
        warn!(context.log, "entry_deregistration_failed"; "error" => %error);
    }
}

/// Watches the other entries.
pub(super) async fn watch(context: &Arc<Context>) {
    loop {
        let Ok(range) = context.store.range(KEY_PREFIX).await else {
            wait_before_retry().await;
            continue;
        };
        if range.is_complete {
            remove_unlisted(context, &range);
        }
        for item in &range.items {
            apply_change(context, &item.key, Some(&item.value));
        }
        let mut watch = context.store.watch(KEY_PREFIX, range.revision);
        while let Event::Change(change) = watch.next().await {
            apply_change(context, &change.key, change.value.as_deref());
        }
    }
}

/// Removes the entries without a registration. Their removals may have been missed.
fn remove_unlisted(context: &Context, range: &Range) {
    let names = range.items.iter();
    let listed: HashSet<&str> = names
        .filter_map(|item| item.key.strip_prefix(KEY_PREFIX))
        .collect();
    context.peers().retain(|name, _| {
        let is_listed = listed.contains(name.as_str());
        if !is_listed {
            info!(context.log, "entry_left"; "entry" => name);
        }
        is_listed
    });
}

async fn register_once(context: &Context) -> Result<u64, toucanquay_model::Error> {
    let lease = context.store.grant(LEASE_TTL).await?;
    let peer = Peer {
        incarnation: context.incarnation,
        address: context.settings.peer_listen,
        revision: 0,
        revision_companions: None,
    };
    let value = serde_json::to_string(&peer)
        .expect("serialization of plain data with string keys can't fail");
    let key = entry_key(&context.settings.name);
    let put = context
        .store
        .put(&key, &value, Expected::Any, Some(lease.id))
        .await?;
    if let PutOutcome::Stored(revision) = put {
        info!(context.log, "entry_registered"; "revision" => revision);
    }
    Ok(lease.id)
}

async fn renew_lease(context: &Context, lease: u64) {
    loop {
        tokio::time::sleep(RENEWAL_INTERVAL).await;
        match context.store.keep_alive(lease).await {
            Ok(Some(_)) => {}
            Ok(None) => return,
            Err(error) => warn!(context.log, "entry_lease_renewal_failed"; "error" => %error),
        }
    }
}

fn apply_change(context: &Context, key: &str, value: Option<&str>) {
    let Some(name) = key.strip_prefix(KEY_PREFIX) else {
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

fn entry_key(name: &str) -> String {
    format!("{KEY_PREFIX}{name}")
}
