//! State shared by the entry's tasks.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, OnceLock},
};

use slog::Logger;
use smallvec::SmallVec;
use tokio::{
    sync::{Notify, mpsc},
    time::Instant,
};
use tokio_util::sync::CancellationToken;
use toucanquay_model::Time;
use toucanquay_wire::Pool;

use super::{
    Settings, candidate::Candidate, line_budget::LineBudget, owner::Event, snapshot::Snapshot,
    term::Term, withdrawals::Withdrawals,
};
use crate::{Clock, Configuration, Store, configuration::Source, meters};

/// Time without a response from the store, or without a confirmation of the configuration, after
/// which the entry is not ready.
const STORE_TIMEOUT_MICROS: u64 = 4_000_000;

/// Shared state of an entry.
#[derive(Debug)]
pub(super) struct Shared {
    pub(super) settings: Settings,
    pub(super) store: Store,
    pub(super) source: Source,
    pub(super) clock: Clock,
    pub(super) log: Logger,
    pub(super) pool: Pool,
    pub(super) withdrawals: Withdrawals,
    /// Stops the server and the tasks of the entry, except the election, which ends with
    /// [`drain`](Self::drain).
    pub(super) stop: CancellationToken,
    /// Makes the entry give up ownership and never acquire it again.
    pub(super) drain: CancellationToken,
    /// Time by which the draining entry must have answered all requests; set before
    /// [`drain`](Self::drain) is cancelled.
    pub(super) answer_by: OnceLock<Instant>,
    /// Cancelled after [`drain`](Self::drain), once ownership is released or if it wasn't held.
    pub(super) released: CancellationToken,
    /// Cancelled after [`drain`](Self::drain), once the registration is removed.
    pub(super) deregistered: CancellationToken,
    /// Notified when the configuration is confirmed.
    pub(super) configuration_confirmed: Notify,
    state: Mutex<State>,
}

/// Mutable state of an entry.
#[derive(Debug, Default)]
struct State {
    snapshot: Option<Snapshot>,
    /// Budget of log lines on requests that the configuration decides against.
    refusals: LineBudget,
    owner: Option<Term>,
    /// Sends events to the owner while it runs in this process.
    mailbox: Option<mpsc::Sender<Event>>,
    store_responded_at: Option<Time>,
    /// Candidates that are preferred to this entry as the owner.
    larger_candidates: Vec<Candidate>,
    /// Addresses of the other entries.
    peers: SmallVec<[SocketAddr; 4]>,
}

impl Shared {
    pub(super) fn new(
        settings: Settings,
        store: Store,
        source: Source,
        withdrawals: Withdrawals,
        log: Logger,
    ) -> Self {
        Self {
            settings,
            store,
            source,
            clock: Clock,
            log,
            pool: Pool::new(),
            withdrawals,
            stop: CancellationToken::new(),
            drain: CancellationToken::new(),
            answer_by: OnceLock::new(),
            released: CancellationToken::new(),
            deregistered: CancellationToken::new(),
            configuration_confirmed: Notify::new(),
            state: Mutex::default(),
        }
    }

    pub(super) fn configuration(&self) -> Option<Arc<Configuration>> {
        Some(self.snapshot()?.configuration)
    }

    pub(super) fn snapshot(&self) -> Option<Snapshot> {
        self.state().snapshot.clone()
    }

    /// Sets the configuration if its version is higher than the current one. Returns whether it was
    /// set.
    pub(super) fn set_snapshot(&self, snapshot: Snapshot) -> bool {
        let mut state = self.state();
        let current_version = state
            .snapshot
            .as_ref()
            .map(|current| current.configuration.version);
        if current_version.is_some_and(|version| version >= snapshot.configuration.version) {
            return false;
        }
        meters::set_configuration_version(snapshot.configuration.version);
        state.snapshot = Some(snapshot);
        true
    }

    /// Records that the store held no newer configuration at this time.
    pub(super) fn confirm_configuration(&self, confirmed_at: Time) {
        let mut state = self.state();
        let Some(snapshot) = &mut state.snapshot else {
            return;
        };
        snapshot.confirmed_at = snapshot.confirmed_at.max(confirmed_at);
        let age_ms = snapshot.age_micros(self.clock.now()) / 1_000;
        meters::set_configuration_confirmed(self.clock.unix_ms().saturating_sub(age_ms));
        drop(state);
        self.configuration_confirmed.notify_waiters();
    }

    /// Returns whether a newer configuration may have been in the store for longer than the bound
    /// within which it must be in force.
    pub(super) fn is_outdated(&self, snapshot: &Snapshot) -> bool {
        let bound_micros = self.settings.configuration_bound.as_micros();
        u128::from(snapshot.age_micros(self.clock.now())) > bound_micros
    }

    /// Takes a log line on a request that the configuration decides against; see [`LineBudget::take`].
    pub(super) fn take_line(&self, now: Time) -> Option<u32> {
        self.state().refusals.take(now)
    }

    pub(super) fn owner(&self) -> Option<Term> {
        self.state().owner.clone()
    }

    pub(super) fn set_owner(&self, owner: Option<Term>) {
        self.state().owner = owner;
    }

    pub(super) fn mailbox(&self) -> Option<mpsc::Sender<Event>> {
        self.state().mailbox.clone()
    }

    pub(super) fn set_mailbox(&self, mailbox: Option<mpsc::Sender<Event>>) {
        self.state().mailbox = mailbox;
    }

    pub(super) fn larger_candidates(&self) -> Vec<Candidate> {
        self.state().larger_candidates.clone()
    }

    pub(super) fn set_larger_candidates(&self, candidates: Vec<Candidate>) {
        self.state().larger_candidates = candidates;
    }

    pub(super) fn peers(&self) -> SmallVec<[SocketAddr; 4]> {
        self.state().peers.clone()
    }

    pub(super) fn set_peers(&self, peers: SmallVec<[SocketAddr; 4]>) {
        self.state().peers = peers;
    }

    pub(super) fn has_larger_candidate(&self) -> bool {
        !self.state().larger_candidates.is_empty()
    }

    /// Records that the store has responded.
    pub(super) fn record_store_response(&self) {
        self.state().store_responded_at = Some(self.clock.now());
    }

    pub(super) fn is_ready(&self) -> bool {
        let state = self.state();
        let now = self.clock.now();
        let is_recent = |time: Time| now < time.plus_micros(STORE_TIMEOUT_MICROS);
        let is_store_reachable = state.store_responded_at.is_some_and(is_recent);
        // Calls to read the configuration may hang while the store answers others.
        let snapshot = state.snapshot.as_ref();
        let is_configured = snapshot.is_some_and(|snapshot| is_recent(snapshot.confirmed_at));
        is_configured && is_store_reachable && !self.drain.is_cancelled()
    }

    pub(super) fn spawn(self: &Arc<Self>, future: impl Future<Output = ()> + Send + 'static) {
        let stop = self.stop.clone();
        tokio::spawn(async move { stop.run_until_cancelled(future).await });
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .expect("the lock is never poisoned: no code panics while holding it")
    }
}
