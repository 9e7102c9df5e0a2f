//! Stand-in for a worker's task runtime.

mod api;
mod gate;
mod interval;
mod payload;
mod sample;
mod shared;
mod start;
mod state;
mod table;
mod task;

use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use toucanquay_model::{Resources, task as model_task};

pub use interval::{Interval, overlaps};
use payload::Payload;
use sample::{Sample, TaskSample};
use shared::Shared;
use start::Start;
pub use state::State;
use table::Table;
use task::Task;

use crate::serving::Serving;

/// How often tasks are looked at for their end and their lease deadline.
const CHECK: Duration = Duration::from_millis(5);

/// A task runtime in this process, and the handle to its faults and records.
///
/// # Examples
///
/// ```
/// use toucanquay_standin::Runtime;
///
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() -> std::io::Result<()> {
/// let runtime = Runtime::start().await?;
/// assert!(runtime.intervals().is_empty());
/// # Ok(())
/// # }
/// ```
#[derive(Debug)]
pub struct Runtime {
    shared: Arc<Shared>,
    serving: Serving,
}

impl Runtime {
    /// Starts a runtime without tasks on a loopback port chosen by the system.
    ///
    /// # Errors
    ///
    /// The system's error when no port can be bound.
    pub async fn start() -> io::Result<Self> {
        Self::start_at((Ipv4Addr::LOCALHOST, 0).into()).await
    }

    /// Starts a runtime without tasks on `address`.
    ///
    /// # Errors
    ///
    /// The system's error when `address` can't be bound.
    pub async fn start_at(address: SocketAddr) -> io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let mut serving = Serving::start(address, api::router(&shared)).await?;
        let checking = Arc::clone(&shared);
        serving.spawn(async move {
            loop {
                tokio::time::sleep(CHECK).await;
                checking.change(|_table| ());
            }
        });
        Ok(Self { shared, serving })
    }

    /// Returns the address that the runtime listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.serving.address()
    }

    /// While `is_paused`, calls wait, tasks make no progress and lease deadlines are not enforced.
    ///
    /// Afterwards, tasks whose deadline has passed meanwhile lapse without running again.
    pub fn set_paused(&self, is_paused: bool) {
        self.shared.change(|table| table.set_paused(is_paused));
    }

    /// While `is_failing`, each task that is started fails at once.
    pub fn set_failing(&self, is_failing: bool) {
        self.shared.change(|table| table.is_failing = is_failing);
    }

    /// While `is_refusing`, every call fails with 503 without effect.
    pub fn set_refusing(&self, is_refusing: bool) {
        self.shared.change(|table| table.is_refusing = is_refusing);
    }

    /// Delays usage by `lag`: the usage that is served was measured that long ago.
    pub fn set_usage_lag(&self, lag: Duration) {
        self.shared.change(|table| table.usage_lag = lag);
    }

    /// Ends the runtime and every task in it, as when its host dies, and returns the intervals.
    #[must_use]
    pub fn kill(self) -> Vec<Interval> {
        drop(self.serving);
        self.shared.change(|table| {
            table.set_paused(true);
            table.intervals.clone()
        })
    }

    /// Returns the state of `task`, if it is listed.
    #[must_use]
    pub fn state(&self, task: &model_task::Id) -> Option<State> {
        self.shared.change(|table| table.state(task))
    }

    /// Returns every interval in which a task ran, in the order of their starts.
    #[must_use]
    pub fn intervals(&self) -> Vec<Interval> {
        self.shared.change(|table| table.intervals.clone())
    }

    /// Returns the number of tasks that are running.
    #[must_use]
    pub fn running(&self) -> usize {
        self.shared.change(|table| table.running())
    }

    /// Returns the largest amount of each resource that running tasks held together.
    #[must_use]
    pub fn held_max(&self) -> Resources {
        self.shared.change(|table| table.held_max)
    }
}
