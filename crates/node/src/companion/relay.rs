//! Passes an owner's session on to an agent that the owner can't reach directly.

use std::net::SocketAddr;

use slog::info;
use tokio::time::{Duration, timeout};
use toucanquay_model::{Error, ErrorKind};
use toucanquay_wire::{Client, Stream};

use super::Shared;

/// Time for reaching the agent.
const OPEN_TIMEOUT: Duration = Duration::from_millis(400);

/// Time without a frame in either direction after which the relay ends.
const IDLE_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Passes frames on until either side ends.
///
/// Leases are safe with a relay: they count from the time stamps of the two ends.
pub(super) async fn run(shared: &Shared, stream: Stream, address: SocketAddr) {
    let target = match timeout(OPEN_TIMEOUT, open(address)).await {
        Ok(Ok(target)) => target,
        Ok(Err(error)) => {
            info!(shared.log, "relay_refused"; "address" => %address, "error" => %error);
            return;
        }
        Err(_elapsed) => {
            info!(shared.log, "relay_unanswered"; "address" => %address);
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

async fn forward_frames(owner: Stream, companion: Stream) -> Result<(), Error> {
    let (mut owner_sender, mut owner_receiver) = owner.split();
    let (mut companion_sender, mut companion_receiver) = companion.split();
    let closed = || Error::new(ErrorKind::PeerUnavailable).context("closed");
    loop {
        let forward_frame = async {
            tokio::select! {
                frame = owner_receiver.recv() => {
                    companion_sender.send(&frame?.ok_or_else(closed)?).await
                }
                frame = companion_receiver.recv() => {
                    owner_sender.send(&frame?.ok_or_else(closed)?).await
                }
            }
        };
        let idle_error = |_elapsed| Error::new(ErrorKind::PeerUnavailable).context("silent");
        timeout(IDLE_TIMEOUT, forward_frame)
            .await
            .map_err(idle_error)??;
    }
}
