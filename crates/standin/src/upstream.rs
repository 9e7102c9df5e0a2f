//! Stand-in for an upstream.

mod api;
mod shared_state;

use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use shared_state::SharedState;

use crate::server::ServerHandle;

/// HTTP upstream in this process, with a handle for its settings and counts.
///
/// # Examples
///
/// ```
/// use toucanquay_standin::Upstream;
///
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() -> std::io::Result<()> {
/// let upstream = Upstream::start().await?;
/// assert_eq!(upstream.executions("order 17"), 0);
/// # Ok(())
/// # }
/// ```
#[derive(Debug)]
pub struct Upstream {
    shared: Arc<SharedState>,
    server: ServerHandle,
}

impl Upstream {
    /// Starts an upstream on a loopback port chosen by the operating system.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if no port can be bound.
    pub async fn start() -> io::Result<Self> {
        Self::start_at((Ipv4Addr::LOCALHOST, 0).into()).await
    }

    /// Starts an upstream on `address`.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if `address` cannot be bound.
    pub async fn start_at(address: SocketAddr) -> io::Result<Self> {
        let shared = Arc::new(SharedState::default());
        let server = ServerHandle::start(address, api::router(&shared)).await?;
        Ok(Self { shared, server })
    }

    /// Returns the address that the upstream listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets the delay of responses of `/slow`. Defaults to 200 ms.
    pub fn set_slow_delay(&self, delay: Duration) {
        self.shared.lock().slow_delay = delay;
    }

    /// Sets the time between two lines of `/feed`. Defaults to 50 ms.
    pub fn set_feed_interval(&self, interval: Duration) {
        self.shared.lock().feed_interval = interval;
    }

    /// Sets whether `/health` responds with status 200 or 503.
    pub fn set_healthy(&self, is_healthy: bool) {
        self.shared.lock().is_healthy = is_healthy;
    }

    /// Returns the number of times that `/execute` was executed with this body.
    #[must_use]
    pub fn executions(&self, body: &str) -> u32 {
        self.shared
            .lock()
            .executions
            .get(body)
            .copied()
            .unwrap_or(0)
    }

    /// Returns every body that `/execute` was executed with, and the number of times.
    #[must_use]
    pub fn all_executions(&self) -> Vec<(String, u32)> {
        let state = self.shared.lock();
        let counts = state.executions.iter();
        counts.map(|(body, count)| (body.clone(), *count)).collect()
    }

    /// Returns the number of requests that arrived, excluding those for `/health`.
    #[must_use]
    pub fn requests(&self) -> u64 {
        self.shared.lock().requests
    }

    /// Returns the number of requests in progress, excluding those for `/health`.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.shared.in_flight.load(Ordering::Relaxed)
    }

    /// Returns the maximum number of requests that were in progress at the same time.
    #[must_use]
    pub fn in_flight_max(&self) -> usize {
        self.shared.lock().in_flight_max
    }
}
