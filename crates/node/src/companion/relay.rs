//! Relays an owner's session to a companion that the owner can't reach directly.

use std::net::SocketAddr;

use slog::info;
use tokio::time::{Duration, timeout};
use toucanquay_model::{Error, ErrorKind};
use toucanquay_wire::{Client, Receiver, Sender, Stream};

use super::Shared;

/// Timeout for connecting to the companion.
const OPEN_TIMEOUT: Duration = Duration::from_millis(400);

/// Time without a frame from one of the peers, or for sending one, after which the relay is closed.
const IDLE_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Forwards frames until either side closes its stream.
///
/// The delay of a relay doesn't affect the safety of leases, which are computed from timestamps
/// taken by the owner and the target companion.
pub(super) async fn run(shared: &Shared, stream: Stream, address: SocketAddr) {
    let target = match timeout(OPEN_TIMEOUT, open(address)).await {
        Ok(Ok(target)) => target,
        Ok(Err(error)) => {
            info!(shared.log, "relay_refused"; "address" => %address, "error" => %error);
            return;
        }
        Err(_elapsed) => {
            info!(shared.log, "relay_timed_out"; "address" => %address);
            return;
        }
    };
    info!(shared.log, "relay_began"; "address" => %address);
    let ended = shared
        .stop
        .run_until_cancelled(forward_frames(stream, target))
        .await;
    if let Some(Err(error)) = ended {
        info!(shared.log, "relay_ended"; "address" => %address, "error" => %error);
    }
}

async fn open(address: SocketAddr) -> Result<Stream, Error> {
    Client::connect(address).await?.open().await
}

/// Forwards frames in both directions until one of them ends.
async fn forward_frames(owner: Stream, companion: Stream) -> Result<(), Error> {
    let (owner_sender, owner_receiver) = owner.split();
    let (companion_sender, companion_receiver) = companion.split();
    tokio::select! {
        ended = forward_direction(owner_receiver, companion_sender) => ended,
        ended = forward_direction(companion_receiver, owner_sender) => ended,
    }
}

/// Forwards the frames of one peer until it is silent, or the other one takes none any more.
async fn forward_direction(mut from: Receiver, mut to: Sender) -> Result<(), Error> {
    loop {
        let received = timeout(IDLE_TIMEOUT, from.recv()).await;
        let silent = |_elapsed| Error::new(ErrorKind::PeerUnavailable).context("silent");
        let Some(frame) = received.map_err(silent)?? else {
            return Err(Error::new(ErrorKind::PeerUnavailable).context("closed"));
        };
        let sent = timeout(IDLE_TIMEOUT, to.send(&frame)).await;
        let blocked = |_elapsed| Error::new(ErrorKind::PeerUnavailable).context("not sent in time");
        sent.map_err(blocked)??;
    }
}
