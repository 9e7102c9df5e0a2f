//! State shared by the companion's tasks.

use std::sync::{Arc, Mutex, MutexGuard};

use slog::Logger;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;
use toucanquay_control::{runner, runner::Runner, scheduler};
use toucanquay_model::Time;

use super::Settings;
use crate::{Clock, Store, Worker};

/// Shared state of a companion.
#[derive(Debug)]
pub(super) struct Shared {
    pub(super) settings: Settings,
    pub(super) store: Store,
    pub(super) worker: Worker,
    pub(super) clock: Clock,
    pub(super) log: Logger,
    pub(super) stop: CancellationToken,
    /// Notified when an update should be sent to the owner.
    pub(super) update_needed: Notify,
    /// Notified when the worker's attempts should be listed, or ended attempts were acknowledged.
    pub(super) list_needed: Notify,
    /// Cancels the current session when another one begins.
    pub(super) session: Mutex<CancellationToken>,
    /// When an owner last gave orders.
    owner_heard_at: Mutex<Time>,
    runner: Mutex<Runner>,
}

impl Shared {
    pub(super) fn new(settings: Settings, store: Store, worker: Worker, log: Logger) -> Self {
        let lease_micros = scheduler::Settings::default().lease_micros;
        let clock = Clock;
        let runner_settings =
            runner::Settings::new(settings.name.clone(), settings.process, lease_micros)
                .started_at(clock.now());
        Self {
            runner: Mutex::new(Runner::new(runner_settings)),
            settings,
            store,
            worker,
            clock,
            log,
            stop: CancellationToken::new(),
            update_needed: Notify::new(),
            list_needed: Notify::new(),
            session: Mutex::new(CancellationToken::new()),
            owner_heard_at: Mutex::new(Time::ZERO),
        }
    }

    pub(super) fn runner(&self) -> MutexGuard<'_, Runner> {
        self.runner
            .lock()
            .expect("the lock is never poisoned: no code panics while holding it")
    }

    /// Records that an owner gives orders.
    pub(super) fn record_owner(&self) {
        *self.lock_owner_heard_at() = self.clock.now();
    }

    /// Returns when an owner last gave orders; zero if none has.
    pub(super) fn owner_heard_at(&self) -> Time {
        *self.lock_owner_heard_at()
    }

    fn lock_owner_heard_at(&self) -> MutexGuard<'_, Time> {
        self.owner_heard_at
            .lock()
            .expect("the lock is never poisoned: no code panics while holding it")
    }

    pub(super) fn spawn(self: &Arc<Self>, future: impl Future<Output = ()> + Send + 'static) {
        let stop = self.stop.clone();
        tokio::spawn(async move { stop.run_until_cancelled(future).await });
    }
}
