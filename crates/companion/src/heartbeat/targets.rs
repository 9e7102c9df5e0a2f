//! The entries that receive heartbeats.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Mutex, MutexGuard},
};

use toucanquay_model::Time;

/// Time for which an entry that no reply names any more still receives heartbeats, in
/// milliseconds. It outlasts the restart of an entry and a short loss of contact.
const EXPIRY_MS: u64 = 30_000;

/// The entries that receive heartbeats: those of the settings, which are kept for good, and those
/// named in replies.
#[derive(Debug)]
pub struct HeartbeatTargets {
    expiries: Mutex<BTreeMap<SocketAddr, Time>>,
}

impl HeartbeatTargets {
    /// Returns the entries of the settings.
    #[must_use]
    pub fn new(settings: &[SocketAddr]) -> Self {
        let expiries = settings.iter().map(|address| (*address, Time::NEVER));
        Self {
            expiries: Mutex::new(expiries.collect()),
        }
    }

    /// Takes in the entries that a reply names and returns the ones that are new.
    pub fn add(&self, named: &[SocketAddr], now: Time) -> Vec<SocketAddr> {
        let mut expiries = self.lock();
        let mut new = Vec::new();
        for address in named.iter().filter(|address| address.port() != 0) {
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

    /// Forgets an entry that no reply has named for a while, and tells whether it did.
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
            .expect("no holder of this lock panics while it changes the map")
    }
}
