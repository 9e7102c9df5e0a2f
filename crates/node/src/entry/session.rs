//! The owner's session with one companion.

use std::net::SocketAddr;

use slog::{Logger, debug};
use tokio::{
    sync::mpsc,
    time::{Duration, sleep, timeout},
};
use toucanquay_model::{Epoch, Error, ErrorKind};
use toucanquay_wire::{Client, Frame, Stream};

use super::owner::Event;

/// Time for opening a session.
const OPEN_TIMEOUT: Duration = Duration::from_millis(600);

/// Time without an update after which a session is given up.
const SILENCE: Duration = Duration::from_millis(1_500);

/// Shortest and longest pause before a session is opened again.
const PAUSE_MIN: Duration = Duration::from_millis(50);
const PAUSE_MAX: Duration = Duration::from_millis(400);

/// Orders that may wait to be sent.
const ORDERS_MAX: usize = 64;

/// Runs until the owner's role ends.
pub(super) async fn run(
    log: Logger,
    mailbox: mpsc::Sender<Event>,
    name: String,
    address: SocketAddr,
    epoch: Epoch,
) {
    let mut pause = PAUSE_MIN;
    loop {
        match timeout(OPEN_TIMEOUT, open(address, epoch)).await {
            Ok(Ok(stream)) => {
                pause = PAUSE_MIN;
                let Err(error) = follow(&mailbox, &name, stream).await else {
                    return;
                };
                debug!(log, "session_broken"; "host" => &name, "error" => %error);
                if mailbox
                    .send(Event::Disconnected(name.clone()))
                    .await
                    .is_err()
                {
                    return;
                }
            }
            Ok(Err(error)) => debug!(log, "session_refused"; "host" => &name, "error" => %error),
            Err(_elapsed) => debug!(log, "session_unanswered"; "host" => &name),
        }
        sleep(pause).await;
        pause = (pause * 2).min(PAUSE_MAX);
    }
}

async fn open(address: SocketAddr, epoch: Epoch) -> Result<Stream, Error> {
    let client = Client::connect(address).await?;
    let mut stream = client.open().await?;
    stream.send(&Frame::Session(epoch)).await?;
    Ok(stream)
}

/// Returns without an error when the owner's role has ended.
async fn follow(mailbox: &mpsc::Sender<Event>, name: &str, stream: Stream) -> Result<(), Error> {
    let (mut sender, mut receiver) = stream.split();
    let (orders_sender, mut orders) = mpsc::channel(ORDERS_MAX);
    let mut orders_sender = Some(orders_sender);
    loop {
        tokio::select! {
            frame = timeout(SILENCE, receiver.recv()) => {
                let silent = |_elapsed| Error::new(ErrorKind::PeerUnavailable).context("silent");
                let update = match frame.map_err(silent)?? {
                    Some(Frame::Update(update)) => update,
                    Some(Frame::Refused(error)) => return Err(error),
                    _ => return Err(Error::new(ErrorKind::PeerUnavailable).context("closed")),
                };
                if let Some(orders) = orders_sender.take() {
                    let connected = Event::Connected(name.to_owned(), orders);
                    if mailbox.send(connected).await.is_err() {
                        return Ok(());
                    }
                }
                if mailbox.send(Event::Update(Box::new(update))).await.is_err() {
                    return Ok(());
                }
            }
            order = orders.recv() => {
                let Some(order) = order else {
                    return Ok(());
                };
                let sent = timeout(SILENCE, sender.send(&Frame::Orders(order))).await;
                sent.map_err(|_elapsed| {
                    Error::new(ErrorKind::PeerUnavailable).context("does not read")
                })??;
            }
        }
    }
}
