//! The entry process, which accepts jobs and, while it is the owner, places their tasks.

mod candidate;
mod candidates;
mod change;
mod configuration;
mod election;
mod evacuations;
mod jobs;
mod line_budget;
mod observed_owner;
mod odd_entries;
mod owner;
mod peer;
mod predecessor;
mod record;
mod registration;
mod removal;
mod routing;
mod session;
mod settings;
mod shared;
mod sightings;
mod silent_hosts;
mod snapshot;
mod takeover;
mod target;
mod term;
mod watch;
mod withdrawal;
mod withdrawals;

use std::sync::Arc;

use slog::{Logger, info, o};
use tokio::time::{Duration, Instant, sleep_until, timeout_at};
use toucanquay_model::Error;
use toucanquay_wire::Server;

pub use registration::Registration;
pub use settings::Settings;
use shared::Shared;
pub use target::Target;
use withdrawals::Withdrawals;

use crate::{Store, configuration::Source};

/// Maximum time to wait for ownership to be released before the process stops.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(800);

/// A running entry.
#[derive(Debug, Clone)]
pub struct Entry {
    shared: Arc<Shared>,
}

impl Entry {
    /// Starts the entry.
    ///
    /// # Errors
    ///
    /// Returns an error if a setting is invalid or the listen address is in use.
    pub async fn start(
        settings: Settings,
        store: Store,
        source: Source,
        log: &Logger,
    ) -> Result<Self, Error> {
        let log = log.new(o!("entry" => settings.name.clone()));
        let server = Server::bind(settings.listen, log.clone()).await?;
        let server = server.limits(settings.limits);
        let (withdrawals, withdrawal_requests) = Withdrawals::new();
        let shared = Shared::new(settings, store, source, withdrawals, log);
        let shared = Arc::new(shared);
        info!(shared.log, "entry_started"; "process" => shared.settings.process,
            "peers" => %server.address());
        let peer_shared = shared.clone();
        let stop = shared.stop.clone();
        tokio::spawn(server.run(stop, move |stream| peer::serve(peer_shared.clone(), stream)));
        shared.spawn(withdrawals::run(shared.clone(), withdrawal_requests));
        shared.spawn(configuration::run(shared.clone()));
        shared.spawn(configuration::peers::run(shared.clone()));
        shared.spawn(candidates::run(shared.clone()));
        tokio::spawn(election::run(shared.clone()));
        Ok(Self { shared })
    }

    /// Returns whether the load balancer should send requests to this entry.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.shared.is_ready()
    }

    /// Returns whether the entry is draining before it stops.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.shared.drain.is_cancelled()
    }

    /// Returns the time by which a request must be answered: its own deadline, but no later than
    /// the time by which a draining entry must have answered all requests.
    #[must_use]
    pub fn answer_deadline(&self, deadline: Instant) -> Instant {
        let answer_by = self.shared.answer_by.get();
        answer_by.map_or(deadline, |answer_by| deadline.min(*answer_by))
    }

    /// Waits until a draining entry must have answered all requests.
    pub async fn answers_due(&self) {
        self.shared.drain.cancelled().await;
        if let Some(answer_by) = self.shared.answer_by.get() {
            sleep_until(*answer_by).await;
        }
    }

    /// Releases ownership and reports the entry as not ready. The entry continues to serve
    /// requests, and answers all of them by `answer_by`.
    pub async fn drain(&self, answer_by: Instant) {
        info!(self.shared.log, "entry_draining");
        // The time of the first call holds.
        let _ = self.shared.answer_by.set(answer_by);
        self.shared.drain.cancel();
        let deregistered = self.shared.deregistered.cancelled();
        let released = self.shared.released.cancelled();
        let handed_over = async { tokio::join!(deregistered, released) };
        let _ = timeout_at(Instant::now() + HANDOVER_TIMEOUT, handed_over).await;
    }

    /// Stops the entry.
    pub fn stop(&self) {
        info!(self.shared.log, "entry_stopped");
        self.shared.stop.cancel();
    }
}
