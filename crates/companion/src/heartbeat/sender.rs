//! Heartbeat loops, one per entry.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use futures_util::future::join_all;
use slog::{debug, info};
use tokio::time::{Instant, sleep_until, timeout_at};
use tokio_util::{sync::CancellationToken, task::TaskTracker};
use toucanquay_model::{Error, ErrorKind};
use toucanquay_wire::{Frame, heartbeat::Reply};

use crate::{Context, configuration};

/// Interval between heartbeats to the same entry.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Timeout for a reply. Shorter than the interval, so that an unresponsive entry does not delay the
/// next heartbeat.
const REPLY_TIMEOUT: Duration = Duration::from_millis(900);

/// Timeout for the replies to the final heartbeats.
const FINAL_TIMEOUT: Duration = Duration::from_millis(500);

/// Starts a heartbeat loop for each known entry. The loops run until `stop` is cancelled.
pub fn start(context: &Arc<Context>, tracker: &TaskTracker, stop: &CancellationToken) {
    for address in context.entries.addresses() {
        spawn_heartbeats(context, tracker, stop, address);
    }
}

/// Sends one heartbeat to all known entries concurrently and waits briefly for the replies.
pub async fn send_final(context: &Context) {
    let deadline = Instant::now() + FINAL_TIMEOUT;
    let heartbeats = context
        .entries
        .addresses()
        .into_iter()
        .map(|address| async move {
            let _ = timeout_at(deadline, send(context, address, false)).await;
        });
    join_all(heartbeats).await;
}

fn spawn_heartbeats(
    context: &Arc<Context>,
    tracker: &TaskTracker,
    stop: &CancellationToken,
    address: SocketAddr,
) {
    let heartbeats = heartbeat_loop(context.clone(), tracker.clone(), stop.clone(), address);
    let stop = stop.clone();
    tracker.spawn(async move { stop.run_until_cancelled(heartbeats).await });
}

async fn heartbeat_loop(
    context: Arc<Context>,
    tracker: TaskTracker,
    stop: CancellationToken,
    address: SocketAddr,
) {
    let mut changes = context.changes.subscribe();
    let mut with_announcement = true;
    // A random phase per entry spreads the heartbeats of companions that were started at the same
    // time. The first heartbeat is not delayed.
    let phase = Duration::from_micros(rand::random_range(0..1_000_000));
    let mut next_at = Instant::now() + phase;
    loop {
        changes.mark_unchanged();
        let reply = send(&context, address, with_announcement).await;
        context.meters.count_heartbeat(reply.is_ok());
        match reply {
            Ok(reply) => {
                let is_newly_wanted = reply.wants_announcement && !with_announcement;
                with_announcement = reply.wants_announcement;
                handle_reply(&context, &tracker, &stop, address, reply).await;
                if is_newly_wanted {
                    continue;
                }
            }
            Err(error) => {
                debug!(context.log, "heartbeat_failed"; "entry" => %address, "error" => %error);
                if context.entries.remove_expired(address, context.now()) {
                    info!(context.log, "entry_forgotten"; "entry" => %address);
                    return;
                }
            }
        }
        while next_at <= Instant::now() {
            next_at += HEARTBEAT_INTERVAL;
        }
        tokio::select! {
            () = sleep_until(next_at) => {}
            _ = changes.changed() => {}
        }
    }
}

async fn send(
    context: &Context,
    address: SocketAddr,
    with_announcement: bool,
) -> Result<Reply, Error> {
    let heartbeat = Frame::Heartbeat(context.next_heartbeat(with_announcement));
    let deadline = Instant::now() + REPLY_TIMEOUT;
    match context.pool.call(address, &heartbeat, deadline).await? {
        Frame::HeartbeatReply(reply) => Ok(reply),
        _ => Err(Error::new(ErrorKind::Protocol).context("unexpected frame")),
    }
}

async fn handle_reply(
    context: &Arc<Context>,
    tracker: &TaskTracker,
    stop: &CancellationToken,
    address: SocketAddr,
    reply: Reply,
) {
    for entry in context.entries.add(&reply.entries, context.now()) {
        info!(context.log, "entry_learned"; "entry" => %entry);
        spawn_heartbeats(context, tracker, stop, entry);
    }
    if let Some(owner) = reply.owner {
        context.owner.send_if_modified(|known| {
            let is_newer = known.is_none_or(|known| owner.epoch > known.epoch);
            if is_newer {
                *known = Some(owner);
            }
            is_newer
        });
    }
    configuration::update_from(context, address, reply.revision, reply.revision_known).await;
}
