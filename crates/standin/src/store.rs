//! Stand-in for the platform's key-value store.

mod api;
mod call;
mod call_error;
mod change;
mod fault_middleware;
mod item;
mod lease;
mod shared_state;
mod state;

use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use tokio::time::Instant;

pub use call::Call;
use call_error::CallError;
use change::Change;
pub use item::Item;
use lease::Lease;
use shared_state::SharedState;
use state::{State, items_with_prefix};

use crate::server::ServerHandle;

/// Time between two checks for expired leases.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Maximum size of a value, in bytes.
pub const VALUE_BYTES_MAX: usize = 1_000_000;

/// Key-value store in this process, with a handle for injecting faults and reading its contents.
///
/// # Examples
///
/// ```
/// use toucanquay_standin::{Store, store::Call};
///
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() -> std::io::Result<()> {
/// let store = Store::start().await?;
/// let revision = store.write("config/section/desk", "text");
/// assert_eq!(store.get("config/section/desk").unwrap().revision, revision);
/// assert_eq!(store.calls(Call::Put), 0);
/// # Ok(())
/// # }
/// ```
#[derive(Debug)]
pub struct Store {
    shared: Arc<SharedState>,
    server: ServerHandle,
}

impl Store {
    /// Starts an empty store on a loopback port chosen by the operating system.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if no port can be bound.
    pub async fn start() -> io::Result<Self> {
        Self::start_at((Ipv4Addr::LOCALHOST, 0).into()).await
    }

    /// Starts an empty store on `address`.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if `address` cannot be bound.
    pub async fn start_at(address: SocketAddr) -> io::Result<Self> {
        let shared = Arc::new(SharedState::default());
        let mut server = ServerHandle::start(address, api::router(&shared)).await?;
        let background_state = Arc::clone(&shared);
        server.spawn(async move {
            loop {
                tokio::time::sleep(LEASE_CHECK_INTERVAL).await;
                background_state.with_state(|_state| ());
            }
        });
        Ok(Self { shared, server })
    }

    /// Returns the address that the store listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the item at `key`, if it exists.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<Item> {
        self.shared.with_state(|state| state.get(key).cloned())
    }

    /// Returns the items whose key starts with `prefix`.
    #[must_use]
    pub fn range(&self, prefix: &str) -> Vec<Item> {
        self.shared.with_state(|state| state.range(prefix))
    }

    /// Returns the revision of the last write.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.shared.with_state(|state| state.revision())
    }

    /// Writes `value` at `key` directly, without an HTTP call, and returns the new revision.
    pub fn write(&self, key: &str, value: &str) -> u64 {
        self.shared
            .with_state(|state| state.write(key, value, None))
    }

    /// Deletes `key` directly, without an HTTP call.
    pub fn remove(&self, key: &str) {
        self.shared.with_state(|state| state.remove(key));
    }

    /// Sets whether the store is down. While it is down, every call fails with status 503 and has
    /// no effect, and leases do not expire. The connections of waiting watches are closed.
    pub fn set_down(&self, is_down: bool) {
        self.shared.with_state(|state| state.set_down(is_down));
    }

    /// Delays every call by `delay` before it takes effect. A delayed call that changes the store
    /// takes effect even if its caller has disconnected.
    pub fn set_delay(&self, delay: Duration) {
        self.shared.with_state(|state| state.faults.delay = delay);
    }

    /// Delays every response by `delay` after the call took effect.
    pub fn set_response_delay(&self, delay: Duration) {
        self.shared
            .with_state(|state| state.faults.response_delay = delay);
    }

    /// Closes the connection instead of sending the next `count` responses to `call`, after the
    /// call took effect.
    pub fn lose_responses(&self, call: Call, count: u32) {
        self.shared.with_state(|state| {
            state.faults.lost_responses.insert(call, count);
        });
    }

    /// Closes the connection of every waiting watch.
    pub fn drop_watches(&self) {
        self.shared
            .with_state(|state| state.faults.dropped_watches += 1);
    }

    /// Expires `lease` immediately, as if its holder had not kept it alive.
    pub fn expire_lease(&self, lease: u64) {
        self.shared.with_state(|state| state.end_lease(lease));
    }

    /// Expires the lease that `key` is attached to, and returns whether there is one.
    pub fn expire_lease_of_key(&self, key: &str) -> bool {
        self.shared.with_state(|state| {
            let lease = state.get(key).and_then(|item| item.lease);
            lease.is_some_and(|lease| state.end_lease(lease))
        })
    }

    /// Sets whether reads of keys and ranges are stale. While they are, they return the contents at
    /// the time of this call.
    pub fn set_stale(&self, is_stale: bool) {
        self.shared.with_state(|state| state.set_stale(is_stale));
    }

    /// Discards the log of changes, so that a watch from an earlier revision fails with status 410.
    pub fn compact(&self) {
        self.shared.with_state(State::compact);
    }

    /// Returns the number of calls of this kind that arrived, including those that failed.
    #[must_use]
    pub fn calls(&self, call: Call) -> u64 {
        self.shared.with_state(|state| state.call_stats.count(call))
    }

    /// Returns the number of calls that arrived, including those that failed.
    #[must_use]
    pub fn calls_total(&self) -> u64 {
        self.shared.with_state(|state| state.call_stats.total())
    }

    /// Returns the maximum number of calls that arrived within any period of length `window` since
    /// `since`.
    #[must_use]
    pub fn max_calls_within(&self, since: Instant, window: Duration) -> usize {
        self.shared
            .with_state(|state| state.call_stats.max_calls_within(since, window))
    }
}
