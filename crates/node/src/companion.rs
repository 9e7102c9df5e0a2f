//! The companion process beside a worker.

mod executor;
mod lease;
mod registration;
mod relay;
mod session;
mod settings;
mod shared;

use std::sync::Arc;

use slog::{Logger, info, o};
use tokio::time::{Duration, MissedTickBehavior, interval};
use toucanquay_control::runner::Heartbeat;
use toucanquay_model::{Error, Incarnation};
use toucanquay_wire::Server;

pub use settings::Settings;
use shared::Shared;

use crate::{Store, Worker};

/// Interval at which the runner checks for due actions, such as stops.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// A running companion.
#[derive(Debug, Clone)]
pub struct Companion {
    shared: Arc<Shared>,
}

impl Companion {
    /// Starts the companion.
    ///
    /// # Errors
    ///
    /// Returns an error if a setting is invalid or the listen address is in use.
    pub async fn start(
        settings: Settings,
        store: Store,
        worker: Worker,
        log: &Logger,
    ) -> Result<Self, Error> {
        let log = log.new(o!("host" => settings.name.clone()));
        let server = Server::bind(settings.listen, log.clone()).await?;
        let server = server.limits(settings.limits);
        let shared = Arc::new(Shared::new(settings, store, worker, log));
        info!(shared.log, "companion_started"; "process" => shared.settings.process,
            "host_uptime_ms" => shared.clock.now().as_millis(),
            "sessions" => %server.address());
        let session_shared = shared.clone();
        let stop = shared.stop.clone();
        tokio::spawn(server.run(stop, move |stream| {
            session::serve(session_shared.clone(), stream)
        }));
        shared.spawn(registration::run(shared.clone()));
        shared.spawn(lease::run(shared.clone()));
        shared.spawn(tick(shared.clone()));
        Ok(Self { shared })
    }

    /// Records a heartbeat of the worker.
    pub fn record_heartbeat(&self, heartbeat: Heartbeat) {
        let shared = &self.shared;
        let (id, incarnation) = (heartbeat.id.clone(), heartbeat.worker.incarnation);
        let is_draining = heartbeat.worker.is_draining;
        if shared
            .runner()
            .record_heartbeat(heartbeat, shared.clock.now())
        {
            info!(shared.log, "worker_announced"; "worker" => id, "incarnation" => incarnation,
                "is_draining" => is_draining);
            shared.update_needed.notify_one();
            shared.list_needed.notify_one();
        }
    }

    /// Records that the worker announced its exit. If the message names its incarnation, a late one
    /// of a former incarnation is ignored.
    pub fn deregister_worker(&self, id: &str, incarnation: Option<Incarnation>) {
        let has_exited = self.shared.runner().deregister_worker(id, incarnation);
        info!(self.shared.log, "worker_left"; "worker" => id, "incarnation" => incarnation,
            "is_current" => has_exited);
        self.shared.update_needed.notify_one();
    }

    /// Stops the companion. Attempts on the worker continue until the lease ends. If the worker has
    /// exited, the host's registration is removed from the store.
    pub async fn stop(&self) {
        self.shared.stop.cancel();
        let has_worker_exited = self.shared.runner().has_worker_exited();
        if has_worker_exited {
            registration::deregister(&self.shared).await;
        }
        info!(self.shared.log, "companion_stopped"; "is_vacant" => has_worker_exited);
    }
}

async fn tick(shared: Arc<Shared>) {
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let actions = shared.runner().tick(shared.clock.now());
        executor::run(&shared, actions);
    }
}
