//! The entries that receive heartbeats.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Mutex, MutexGuard},
};

use toucanquay_model::Time;

/// Time for which an entry that no reply names any more still receives heartbeats, in
/// milliseconds. It outlasts the restart of an entry and a short loss of contact.
const FORGET_MS: u64 = 30_000;

/// The entries that receive heartbeats: those of the settings, which are kept for good, and those
/// named in replies.
#[derive(Debug)]
pub struct Entries {
    known: Mutex<BTreeMap<SocketAddr, Time>>,
}

impl Entries {
    /// Returns the entries of the settings.
    #[must_use]
    pub fn new(settings: &[SocketAddr]) -> Self {
        let known = settings.iter().map(|address| (*address, Time::NEVER));
        Self {
            known: Mutex::new(known.collect()),
        }
    }

    /// Takes in the entries that a reply names and returns the ones that are new.
    pub fn learn(&self, named: &[SocketAddr], now: Time) -> Vec<SocketAddr> {
        let mut known = self.lock();
        let mut new = Vec::new();
        for address in named.iter().filter(|address| address.port() != 0) {
            let keep_until = now.plus_millis(FORGET_MS);
            match known.get_mut(address) {
                Some(until) => *until = keep_until.max(*until),
                None => {
                    known.insert(*address, keep_until);
                    new.push(*address);
                }
            }
        }
        new
    }

    /// Forgets an entry that no reply has named for a while, and tells whether it did.
    #[must_use]
    pub fn forget(&self, address: SocketAddr, now: Time) -> bool {
        let mut known = self.lock();
        let is_old = known.get(&address).is_none_or(|until| *until <= now);
        if is_old {
            known.remove(&address);
        }
        is_old
    }

    /// Returns the addresses of all known entries.
    #[must_use]
    pub fn all(&self) -> Vec<SocketAddr> {
        self.lock().keys().copied().collect()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Time>> {
        self.known
            .lock()
            .expect("no holder of this lock panics while it changes the map")
    }
}
