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
const SILENCE: Duration = Duration::from_millis(3_000);

/// Passes frames on until either side ends.
///
/// Leases are safe with a relay: they count from the time stamps of the two ends.
pub(super) async fn run(shared: &Shared, stream: Stream, address: SocketAddr) {
    let onward = match timeout(OPEN_TIMEOUT, open(address)).await {
        Ok(Ok(onward)) => onward,
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
    let ended = shared.stop.run_until_cancelled(pass(stream, onward)).await;
    if let Some(Err(error)) = ended {
        info!(shared.log, "relay_ended"; "address" => %address, "error" => %error);
    }
}

async fn open(address: SocketAddr) -> Result<Stream, Error> {
    Client::connect(address).await?.open().await
}

async fn pass(near: Stream, far: Stream) -> Result<(), Error> {
    let (mut near_sender, mut near_receiver) = near.split();
    let (mut far_sender, mut far_receiver) = far.split();
    let closed = || Error::new(ErrorKind::PeerUnavailable).context("closed");
    loop {
        let exchange = async {
            tokio::select! {
                frame = near_receiver.recv() => {
                    far_sender.send(&frame?.ok_or_else(closed)?).await
                }
                frame = far_receiver.recv() => {
                    near_sender.send(&frame?.ok_or_else(closed)?).await
                }
            }
        };
        let silent = |_elapsed| Error::new(ErrorKind::PeerUnavailable).context("silent");
        timeout(SILENCE, exchange).await.map_err(silent)??;
    }
}
