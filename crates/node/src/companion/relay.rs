//! Relays an owner's session to a companion that the owner can't reach directly.

use std::net::SocketAddr;

use slog::info;
use tokio::time::{Duration, timeout};
use toucanquay_model::{Error, ErrorKind};
use toucanquay_wire::{Client, Stream};

use super::Shared;

/// Timeout for connecting to the companion.
const OPEN_TIMEOUT: Duration = Duration::from_millis(400);

/// Time without a frame in either direction after which the relay is closed.
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
