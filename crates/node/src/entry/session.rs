//! The owner's session with a companion.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use slog::{Logger, debug, info};
use tokio::{
    sync::mpsc,
    time::{Duration, Instant, sleep, timeout, timeout_at},
};
use toucanquay_model::{Epoch, Error, ErrorKind, session::Update};
use toucanquay_wire::{Client, Frame, Stream, delta::Decoder};

use super::owner::Event;

/// Timeout for opening a session.
const OPEN_TIMEOUT: Duration = Duration::from_millis(600);

/// Time without an update, or for sending orders, after which a session is closed.
const IDLE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Minimum and maximum delay before a session is opened again.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(50);
const RETRY_DELAY_MAX: Duration = Duration::from_millis(400);

/// Field name that marks the errors of sessions in which an update had been received.
const ESTABLISHED: &str = "session";

/// Field name that marks the error of a session to a companion of another host.
const OTHER_HOST: &str = "host";

/// Maximum number of order messages queued for the companion.
const ORDER_QUEUE_CAPACITY: usize = 64;

/// Number of failed direct attempts before a relay is tried.
const DIRECT_ATTEMPTS: u32 = 2;

/// Addresses of all companions by host name, from which relays are chosen.
pub(super) type Addresses = Arc<Mutex<BTreeMap<String, SocketAddr>>>;

/// Keeps a session open until the owner stops or the companion turns out to be that of another host.
///
/// If the companion can't be reached directly, the other companions are tried in turn as relays.
pub(super) async fn run(
    log: Logger,
    mailbox: mpsc::Sender<Event>,
    name: String,
    addresses: Addresses,
    epoch: Epoch,
) {
    let mut retry_delay = RETRY_DELAY_MIN;
    let mut failures = 0;
    loop {
        let Some(path) = select_path(&addresses, &name, failures) else {
            return;
        };
        match timeout(OPEN_TIMEOUT, open(path, epoch)).await {
            Ok(Ok(stream)) => {
                let ended = run_session(&mailbox, &name, stream).await;
                let Err(error) = ended else {
                    return;
                };
                info!(log, "session_broken"; "host" => &name, "relay" => ?path.relay,
                    "error" => %error);
                if error.invalid_field() == Some(OTHER_HOST) {
                    // A session of that host was replaced. Another attempt would do so again.
                    return;
                }
                if was_established(&error) {
                    retry_delay = RETRY_DELAY_MIN;
                    failures = 0;
                } else {
                    failures += 1;
                }
                if mailbox
                    .send(Event::Disconnected(name.clone()))
                    .await
                    .is_err()
                {
                    return;
                }
            }
            Ok(Err(error)) => {
                failures += 1;
                debug!(log, "session_refused"; "host" => &name, "error" => %error);
            }
            Err(_elapsed) => {
                failures += 1;
                debug!(log, "session_timed_out"; "host" => &name, "relay" => ?path.relay);
            }
        }
        sleep(retry_delay).await;
        retry_delay = (retry_delay * 2).min(RETRY_DELAY_MAX);
    }
}

/// Network path to a companion, optionally through a relay.
#[derive(Debug, Clone, Copy)]
struct Path {
    address: SocketAddr,
    relay: Option<SocketAddr>,
}

/// Selects the path for the next attempt: direct at first, and later alternating between direct and
/// a relay.
fn select_path(addresses: &Addresses, name: &str, failures: u32) -> Option<Path> {
    let addresses = addresses
        .lock()
        .expect("the lock is never poisoned: no code panics while holding it");
    let address = *addresses.get(name)?;
    let is_direct = failures < DIRECT_ATTEMPTS || failures.is_multiple_of(2);
    let relay_candidates: Vec<SocketAddr> = addresses
        .iter()
        .filter(|(other, _)| other.as_str() != name)
        .map(|(_, address)| *address)
        .collect();
    let relay = match relay_candidates.len() {
        0 => None,
        count => Some(relay_candidates[(failures / 2) as usize % count]),
    };
    Some(Path {
        address,
        relay: relay.filter(|_| !is_direct),
    })
}

async fn open(path: Path, epoch: Epoch) -> Result<Stream, Error> {
    let client = Client::connect(path.relay.unwrap_or(path.address)).await?;
    let mut stream = client.open().await?;
    if path.relay.is_some() {
        stream.send(&Frame::Relay(path.address)).await?;
    }
    stream.send(&Frame::Session(epoch)).await?;
    Ok(stream)
}

/// Returns whether the session was established before it failed.
fn was_established(error: &Error) -> bool {
    error.invalid_field() == Some(ESTABLISHED)
}

/// Checks that an update is that of the host to which the session was opened.
fn check_host(update: &Update, name: &str) -> Result<(), Error> {
    if update.host == name {
        return Ok(());
    }
    Err(Error::new(ErrorKind::Protocol)
        .field(OTHER_HOST)
        .value(&update.host)
        .expected(name))
}

/// Exchanges updates and orders until the session fails. Returns `Ok` when the owner has stopped.
async fn run_session(
    mailbox: &mpsc::Sender<Event>,
    name: &str,
    stream: Stream,
) -> Result<(), Error> {
    let (mut sender, mut receiver) = stream.split();
    let (orders_sender, mut orders_receiver) = mpsc::channel(ORDER_QUEUE_CAPACITY);
    let mut orders_sender = Some(orders_sender);
    let mut decoder: Option<Decoder> = None;
    // It outlives the sending of orders: the companion is only heard through its own frames.
    let mut next_update_deadline = Instant::now() + IDLE_TIMEOUT;
    let mark_established = |error: Error, is_established: bool| {
        if is_established {
            error.field(ESTABLISHED)
        } else {
            error
        }
    };
    loop {
        let is_established = orders_sender.is_none();
        tokio::select! {
            frame = timeout_at(next_update_deadline, receiver.recv()) => {
                let idle_error = |_elapsed| {
                    Error::new(ErrorKind::PeerUnavailable).context("silent")
                };
                let frame = frame.map_err(idle_error).and_then(|frame| frame);
                let update = match frame.map_err(|error| mark_established(error, is_established))? {
                    Some(Frame::Update(update)) => {
                        check_host(&update, name)?;
                        decoder = Some(Decoder::new(&update));
                        update
                    }
                    Some(Frame::Delta(delta)) => {
                        let restored = match &mut decoder {
                            Some(decoder) => decoder.decode(delta),
                            None => Err(Error::new(ErrorKind::Protocol).context("no first update")),
                        };
                        restored.map_err(|error| mark_established(error, is_established))?
                    }
                    Some(Frame::Refused(error)) => return Err(error),
                    _ => {
                        let error = Error::new(ErrorKind::PeerUnavailable).context("closed");
                        return Err(mark_established(error, is_established));
                    }
                };
                next_update_deadline = Instant::now() + IDLE_TIMEOUT;
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
            orders = orders_receiver.recv() => {
                let Some(mut orders) = orders else {
                    return Ok(());
                };
                orders.strip_repeated_payloads();
                let sent = timeout(IDLE_TIMEOUT, sender.send(&Frame::Orders(orders))).await;
                sent.map_err(|_elapsed| {
                    Error::new(ErrorKind::PeerUnavailable).context("orders not sent in time")
                })??;
            }
        }
    }
}
