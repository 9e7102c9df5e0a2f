//! Serves the owner's sessions.

use std::sync::Arc;

use slog::{debug, info};
use tokio::time::{Duration, Instant, sleep, sleep_until};
use tokio_util::sync::CancellationToken;
use toucanquay_control::runner::Action;
use toucanquay_model::{Epoch, Error, ErrorKind, session::Orders};
use toucanquay_wire::{Frame, Stream, delta::Encoder};

use super::{Shared, executor, lease, relay};

/// Maximum interval between updates that contain all changes.
const UPDATE_INTERVAL: Duration = Duration::from_millis(400);

/// Time without orders after which a session is closed.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Time for which changes are batched into one update.
const BATCHING_DELAY: Duration = Duration::from_millis(2);

/// Serves one stream.
pub(super) async fn serve(shared: Arc<Shared>, mut stream: Stream) {
    let epoch = match stream.recv().await {
        Ok(Some(Frame::Session(epoch))) => epoch,
        Ok(Some(Frame::Relay(address))) => return relay::run(&shared, stream, address).await,
        _ => return,
    };
    let Some(token) = begin_session(&shared, epoch) else {
        let error = Error::new(ErrorKind::NoOwner).context("a later owner is known");
        // Sending may fail: the caller also learns of the later owner from the store.
        let _ = stream.send_last(&Frame::Refused(error)).await;
        return;
    };
    info!(shared.log, "session_began"; "epoch" => epoch);
    shared.spawn(lease::fence_worker(shared.clone()));
    let ended = token
        .run_until_cancelled(run_session(&shared, &token, stream))
        .await;
    match ended {
        Some(Err(error)) => info!(shared.log, "session_ended"; "epoch" => epoch, "error" => %error),
        Some(Ok(())) => info!(shared.log, "session_ended"; "epoch" => epoch),
        None => debug!(shared.log, "session_replaced"; "epoch" => epoch),
    }
}

/// Replaces the current session by a new one, unless an owner with a higher epoch is known.
fn begin_session(shared: &Shared, epoch: Epoch) -> Option<CancellationToken> {
    let mut runner = shared.runner();
    if !runner.begin_session(epoch) {
        return None;
    }
    let token = shared.stop.child_token();
    let mut current = shared
        .session
        .lock()
        .expect("the lock is never poisoned: no code panics while holding it");
    std::mem::replace(&mut *current, token.clone()).cancel();
    Some(token)
}

async fn run_session(
    shared: &Arc<Shared>,
    token: &CancellationToken,
    stream: Stream,
) -> Result<(), Error> {
    let (mut sender, mut receiver) = stream.split();
    let first = shared.runner().next_update(shared.clock.now());
    let mut encoder = Encoder::new(&first);
    sender.send(&Frame::Update(first)).await?;
    let mut next_complete_at = Instant::now() + UPDATE_INTERVAL;
    let mut idle_deadline = Instant::now() + IDLE_TIMEOUT;
    loop {
        tokio::select! {
            frame = receiver.recv() => {
                let Some(Frame::Orders(mut orders)) = frame? else {
                    return Ok(());
                };
                orders.restore_payloads();
                idle_deadline = Instant::now() + IDLE_TIMEOUT;
                shared.record_owner();
                if apply_orders(shared, token, &orders) {
                    shared.update_needed.notify_one();
                }
                continue;
            }
            () = shared.update_needed.notified() => sleep(BATCHING_DELAY).await,
            () = sleep_until(next_complete_at) => {}
            () = sleep_until(idle_deadline) => {
                return Err(Error::new(ErrorKind::PeerUnavailable).context("no orders"));
            }
        }
        let is_complete = Instant::now() >= next_complete_at;
        if is_complete {
            next_complete_at = Instant::now() + UPDATE_INTERVAL;
        }
        let update = shared.runner().next_update(shared.clock.now());
        let delta = encoder.encode(update, is_complete);
        sender.send(&Frame::Delta(delta)).await?;
    }
}

/// Applies orders unless the session was replaced. Returns whether an attempt was rejected.
fn apply_orders(shared: &Arc<Shared>, token: &CancellationToken, orders: &Orders) -> bool {
    let (actions, has_acknowledged) = {
        let mut runner = shared.runner();
        if token.is_cancelled() {
            return false;
        }
        let acknowledged_before = runner.acknowledged();
        let actions = runner.apply_orders(orders, shared.clock.now());
        (actions, runner.acknowledged() > acknowledged_before)
    };
    if has_acknowledged {
        shared.list_needed.notify_one();
    }
    let is_start = |action: &&Action| matches!(action, Action::Start { .. });
    let started = actions.iter().filter(is_start).count();
    executor::run(shared, actions);
    started < orders.starts.len()
}
