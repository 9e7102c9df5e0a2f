//! Sessions of the owner.

use std::sync::Arc;

use slog::{debug, info};
use tokio::time::{Duration, Instant, sleep, sleep_until};
use tokio_util::sync::CancellationToken;
use toucanquay_control::runner::Action;
use toucanquay_model::{Epoch, Error, ErrorKind, session::Orders};
use toucanquay_wire::{Frame, Sender, Stream};

use super::{Shared, executor, hold, relay};

/// Longest time between two updates.
const HEARTBEAT: Duration = Duration::from_millis(400);

/// Time without orders after which a session is given up.
const SILENCE: Duration = Duration::from_millis(2_000);

/// Time in which changes are gathered into one update.
const GATHER: Duration = Duration::from_millis(2);

/// Serves one stream.
pub(super) async fn serve(shared: Arc<Shared>, mut stream: Stream) {
    let epoch = match stream.recv().await {
        Ok(Some(Frame::Session(epoch))) => epoch,
        Ok(Some(Frame::Relay(address))) => return relay::run(&shared, stream, address).await,
        _ => return,
    };
    let Some(token) = begin(&shared, epoch) else {
        let error = Error::new(ErrorKind::NoOwner).context("a later owner is known");
        // The caller learns of its successor from the store, too.
        let _ = stream.send_last(&Frame::Refused(error)).await;
        return;
    };
    info!(shared.log, "session_began"; "epoch" => epoch);
    shared.spawn(hold::fence(shared.clone()));
    let ended = token
        .run_until_cancelled(follow(&shared, &token, stream))
        .await;
    match ended {
        Some(Err(error)) => info!(shared.log, "session_ended"; "epoch" => epoch, "error" => %error),
        Some(Ok(())) => info!(shared.log, "session_ended"; "epoch" => epoch),
        None => debug!(shared.log, "session_replaced"; "epoch" => epoch),
    }
}

/// Ends the former session and begins one, unless a later owner is known.
fn begin(shared: &Shared, epoch: Epoch) -> Option<CancellationToken> {
    let mut runner = shared.runner();
    if !runner.begin_session(epoch) {
        return None;
    }
    let token = shared.stop.child_token();
    let mut present = shared
        .session
        .lock()
        .expect("no holder of this lock panics");
    std::mem::replace(&mut *present, token.clone()).cancel();
    Some(token)
}

async fn follow(
    shared: &Arc<Shared>,
    token: &CancellationToken,
    stream: Stream,
) -> Result<(), Error> {
    let (mut sender, mut receiver) = stream.split();
    send(shared, &mut sender).await?;
    let mut update_at = Instant::now() + HEARTBEAT;
    let mut silent_at = Instant::now() + SILENCE;
    loop {
        tokio::select! {
            frame = receiver.recv() => {
                let Some(Frame::Orders(orders)) = frame? else {
                    return Ok(());
                };
                silent_at = Instant::now() + SILENCE;
                if apply(shared, token, &orders) {
                    shared.changed.notify_one();
                }
            }
            () = shared.changed.notified() => {
                sleep(GATHER).await;
                send(shared, &mut sender).await?;
                update_at = Instant::now() + HEARTBEAT;
            }
            () = sleep_until(update_at) => {
                send(shared, &mut sender).await?;
                update_at = Instant::now() + HEARTBEAT;
            }
            () = sleep_until(silent_at) => {
                return Err(Error::new(ErrorKind::PeerUnavailable).context("no orders"));
            }
        }
    }
}

async fn send(shared: &Shared, sender: &mut Sender) -> Result<(), Error> {
    let update = shared.runner().next_update(shared.clock.now());
    sender.send(&Frame::Update(update)).await
}

/// Applies orders unless the session was replaced. Returns whether an attempt was rejected.
fn apply(shared: &Arc<Shared>, token: &CancellationToken, orders: &Orders) -> bool {
    let (actions, has_acknowledged) = {
        let mut runner = shared.runner();
        if token.is_cancelled() {
            return false;
        }
        let before = runner.acknowledged();
        let actions = runner.apply_orders(orders, shared.clock.now());
        (actions, runner.acknowledged() > before)
    };
    if has_acknowledged {
        shared.look.notify_one();
    }
    let is_start = |action: &&Action| matches!(action, Action::Start { .. });
    let started = actions.iter().filter(is_start).count();
    executor::run(shared, actions);
    started < orders.starts.len()
}
