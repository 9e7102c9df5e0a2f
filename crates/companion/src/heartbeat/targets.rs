//! Entries that receive heartbeats.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Mutex, MutexGuard},
};

use toucanquay_model::Time;

/// Time for which an entry still receives heartbeats after the last reply that listed it, in
/// milliseconds. Longer than the restart of an entry or a short loss of connectivity.
const EXPIRY_MS: u64 = 30_000;

/// Entries that receive heartbeats: those from the settings, which never expire, and those listed
/// in replies.
#[derive(Debug)]
pub struct HeartbeatTargets {
    expiries: Mutex<BTreeMap<SocketAddr, Time>>,
}

impl HeartbeatTargets {
    /// Creates the set from the entries of the settings.
    #[must_use]
    pub fn new(addresses: &[SocketAddr]) -> Self {
        let expiries = addresses.iter().map(|address| (*address, Time::NEVER));
        Self {
            expiries: Mutex::new(expiries.collect()),
        }
    }

    /// Adds the entries listed in a reply, renews the expiry of known ones, and returns the new
    /// ones.
    pub fn add(&self, listed: &[SocketAddr], now: Time) -> Vec<SocketAddr> {
        let mut expiries = self.lock();
        let mut new = Vec::new();
        for address in listed.iter().filter(|address| address.port() != 0) {
            let renewed_expiry = now.plus_millis(EXPIRY_MS);
            match expiries.get_mut(address) {
                Some(expires_at) => *expires_at = renewed_expiry.max(*expires_at),
                None => {
                    expiries.insert(*address, renewed_expiry);
                    new.push(*address);
                }
            }
        }
        new
    }

    /// Removes an entry if it has expired, and returns whether it is no longer in the set.
    #[must_use]
    pub fn remove_expired(&self, address: SocketAddr, now: Time) -> bool {
        let mut expiries = self.lock();
        let is_expired = expiries
            .get(&address)
            .is_none_or(|expires_at| *expires_at <= now);
        if is_expired {
            expiries.remove(&address);
        }
        is_expired
    }

    /// Returns the addresses of all known entries.
    #[must_use]
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.lock().keys().copied().collect()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Time>> {
        self.expiries
            .lock()
            .expect("the lock of the heartbeat targets must not be poisoned")
    }
}
