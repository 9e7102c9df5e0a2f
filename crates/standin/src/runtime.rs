//! Stand-in for a worker's task runtime.

mod api;
mod fault_middleware;
mod payload;
mod run_interval;
mod shared_state;
mod start_request;
mod state;
mod task;
mod task_table;
mod usage_sample;

use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use toucanquay_model::{Resources, task as model_task};

use payload::Payload;
pub use run_interval::{RunInterval, find_overlaps};
use shared_state::SharedState;
use start_request::StartRequest;
pub use state::State;
use task::Task;
use task_table::TaskTable;
use usage_sample::{TaskUsage, UsageSample};

use crate::server::ServerHandle;

/// Time between two checks of the tasks for completion and expired leases.
const ADVANCE_INTERVAL: Duration = Duration::from_millis(5);

/// Task runtime in this process, with a handle for injecting faults and reading its records.
///
/// # Examples
///
/// ```
/// use toucanquay_standin::Runtime;
///
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() -> std::io::Result<()> {
/// let runtime = Runtime::start().await?;
/// assert!(runtime.run_intervals().is_empty());
/// # Ok(())
/// # }
/// ```
#[derive(Debug)]
pub struct Runtime {
    shared: Arc<SharedState>,
    server: ServerHandle,
}

impl Runtime {
    /// Starts a runtime without tasks on a loopback port chosen by the operating system.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if no port can be bound.
    pub async fn start() -> io::Result<Self> {
        Self::start_at((Ipv4Addr::LOCALHOST, 0).into()).await
    }

    /// Starts a runtime without tasks on `address`.
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
                tokio::time::sleep(ADVANCE_INTERVAL).await;
                background_state.with_table(|_table| ());
            }
        });
        Ok(Self { shared, server })
    }

    /// Returns the address that the runtime listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Pauses or resumes the runtime. While it is paused, calls wait, tasks make no progress and
    /// lease deadlines are not enforced.
    ///
    /// Tasks whose deadline passed during the pause lapse on resumption without running again.
    pub fn set_paused(&self, is_paused: bool) {
        self.shared.with_table(|table| table.set_paused(is_paused));
    }

    /// Sets whether each task that is started fails immediately.
    pub fn set_failing(&self, is_failing: bool) {
        self.shared
            .with_table(|table| table.is_failing = is_failing);
    }

    /// Sets whether every call fails with status 503 and has no effect. Tasks continue to run.
    pub fn set_unavailable(&self, is_unavailable: bool) {
        self.shared
            .with_table(|table| table.is_unavailable = is_unavailable);
    }

    /// Sets the minimum age of the usage measurements that the runtime serves.
    pub fn set_usage_lag(&self, lag: Duration) {
        self.shared.with_table(|table| table.usage_lag = lag);
    }

    /// Stops the runtime and all of its tasks, as when its host fails, and returns the intervals in
    /// which tasks ran.
    #[must_use]
    pub fn kill(self) -> Vec<RunInterval> {
        drop(self.server);
        self.shared.with_table(|table| {
            table.set_paused(true);
            table.intervals.clone()
        })
    }

    /// Returns the state of `task`, or `None` if the runtime does not list it.
    #[must_use]
    pub fn state(&self, task: &model_task::Id) -> Option<State> {
        self.shared.with_table(|table| table.state(task))
    }

    /// Returns the intervals in which tasks ran, ordered by start.
    #[must_use]
    pub fn run_intervals(&self) -> Vec<RunInterval> {
        self.shared.with_table(|table| table.intervals.clone())
    }

    /// Returns the number of running tasks.
    #[must_use]
    pub fn running_count(&self) -> usize {
        self.shared.with_table(|table| table.running_count())
    }

    /// Returns the maximum total of each resource that running tasks have held at the same time.
    #[must_use]
    pub fn peak_resources(&self) -> Resources {
        self.shared.with_table(|table| table.peak_resources)
    }
}
