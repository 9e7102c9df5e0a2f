//! Asks the other entries for the configuration while this entry can't read it from the store.
//!
//! The store may turn one entry away for longer than a change may take to be in force.

use std::{net::SocketAddr, sync::Arc};

use slog::debug;
use tokio::time::{Duration, Instant, sleep, sleep_until};
use toucanquay_model::{Error, ErrorKind, Time};
use toucanquay_wire::{
    Frame,
    graph::{Query, Reply},
};

use super::apply;
use crate::entry::Shared;

/// Age of this entry's knowledge from which it asks the others, as a share of the bound within
/// which a change must be in force. It leaves time for two calls.
const ASKING_SHARE: f64 = 0.75;

/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_millis(250);

/// Delay between two calls.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Runs until the entry stops.
pub(in crate::entry) async fn run(shared: Arc<Shared>) {
    let mut calls = 0;
    loop {
        sleep_until(shared.clock.instant(asking_time(&shared))).await;
        if shared.clock.now() < asking_time(&shared) {
            continue;
        }
        let peers = shared.peers();
        if !peers.is_empty() {
            let peer = peers[calls % peers.len()];
            calls += 1;
            if let Err(error) = ask(&shared, peer).await {
                debug!(shared.log, "configuration_unknown_to_peer"; "peer" => %peer,
                    "error" => %error);
            }
        }
        sleep(RETRY_DELAY).await;
    }
}

/// Returns the time from which this entry asks the others unless it has read the configuration.
fn asking_time(shared: &Shared) -> Time {
    let age_max = shared.settings.configuration_bound.mul_f64(ASKING_SHARE);
    shared.snapshot().map_or(Time::ZERO, |snapshot| {
        let age_max_ms = age_max.as_millis() as u64;
        snapshot.confirmed_at.plus_millis(age_max_ms)
    })
}

/// Asks another entry for a newer configuration and for the age of its knowledge.
async fn ask(shared: &Shared, peer: SocketAddr) -> Result<(), Error> {
    let asked_at = shared.clock.now();
    let known_version = shared.configuration().map(|known| known.version);
    let frame = Frame::Graph(Query::Configuration { known_version });
    let deadline = Instant::now() + CALL_TIMEOUT;
    let (age_micros, value) = match shared.pool.call(peer, &frame, deadline).await? {
        Frame::GraphReply(Reply::Configuration { age_micros, value }) => (age_micros, value),
        Frame::Refused(error) => return Err(error),
        _ => return Err(Error::new(ErrorKind::Protocol).context("unexpected frame")),
    };
    let confirmed_at = Time::from_micros(asked_at.as_micros().saturating_sub(age_micros));
    if let Some(value) = value {
        apply(shared, value, confirmed_at, &peer).await?;
    }
    shared.confirm_configuration(confirmed_at);
    Ok(())
}
