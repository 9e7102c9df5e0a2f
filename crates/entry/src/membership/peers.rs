//! Status exchange with other entries.

use std::sync::Arc;

use slog::{debug, info};
use tokio::time::{Duration, Instant};
use toucanquay_control::register::{SectionVersion, Snapshot};
use toucanquay_model::Error;
use toucanquay_wire::{Frame, peer, section};

use super::Peer;
use crate::{Context, peer as listener};

/// Interval between calls to each other entry.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Timeout of a call to another process.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Records the status of another entry.
pub fn receive_status(context: &Context, status: &peer::Status) {
    if status.entry == context.settings.name {
        return;
    }
    context.register().observe_revision(status.revision_known);
    let peer = Peer {
        incarnation: status.incarnation,
        address: status.address,
        revision: status.revision,
        revision_companions: status.revision_companions,
    };
    let mut peers = context.peers();
    let previous = peers.insert(status.entry.clone(), peer);
    drop(peers);
    if previous.is_none_or(|previous| previous.incarnation != status.incarnation) {
        info!(context.log, "entry_joined"; "entry" => &status.entry,
            "address" => %status.address, "incarnation" => status.incarnation);
    }
}

/// Calls every other entry periodically and fetches sections that are newer than this entry's. An
/// entry that starts during an outage of the store gets its configuration this way.
pub async fn poll_peers(context: Arc<Context>) {
    loop {
        let mut addresses: Vec<_> = context.peers().values().map(|peer| peer.address).collect();
        addresses.extend(&context.settings.peers);
        addresses.sort_unstable();
        addresses.dedup();
        addresses.retain(|address| *address != context.settings.peer_listen);
        for address in addresses {
            if let Err(error) = poll_peer(&context, address).await {
                debug!(context.log, "entry_unreachable"; "address" => %address, "error" => %error);
            }
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Calls one entry and fetches its newer sections.
///
/// # Errors
///
/// The kinds of [`toucanquay_wire::Pool::call`].
pub async fn poll_peer(context: &Context, address: std::net::SocketAddr) -> Result<(), Error> {
    let frame = Frame::Peer(listener::status(context));
    let deadline = Instant::now() + CALL_TIMEOUT;
    let Frame::PeerReply(status) = context.pool.call(address, &frame, deadline).await? else {
        return Ok(());
    };
    receive_status(context, &status);
    let held_revision = context.register().revision();
    if status.revision > held_revision {
        fetch_sections(context, address, held_revision).await?;
    }
    Ok(())
}

/// Fetches the sections newer than `after` from a process and applies them.
///
/// # Errors
///
/// The kinds of [`toucanquay_wire::Pool::call`].
pub async fn fetch_sections(
    context: &Context,
    address: std::net::SocketAddr,
    after: u64,
) -> Result<(), Error> {
    let frame = Frame::SectionQuery(section::Query { after });
    let deadline = Instant::now() + CALL_TIMEOUT;
    let Frame::SectionReply(reply) = context.pool.call(address, &frame, deadline).await? else {
        return Ok(());
    };
    let items = reply.items.into_iter().map(|item| SectionVersion {
        team: item.team,
        revision: item.revision,
        text: item.text,
    });
    let snapshot = Snapshot {
        revision: reply.revision,
        items: items.collect(),
    };
    let mut register = context.register();
    register.merge(snapshot);
    context.set_configured();
    info!(context.log, "sections_fetched"; "from" => %address,
        "revision" => register.revision());
    Ok(())
}
