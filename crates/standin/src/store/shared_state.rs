//! State shared by the server and the handle.

use std::sync::{Arc, Mutex, MutexGuard};

use tokio::{sync::watch, time::Instant};

use super::State;

/// The state behind its lock, and a signal for waiting watches.
#[derive(Debug, Default)]
pub(super) struct SharedState {
    state: Mutex<State>,
    changed: watch::Sender<(u64, bool, u64)>,
}

impl SharedState {
    /// Runs `act` on the state, after expired leases have been ended. Wakes the watches when the
    /// revision or a fault that concerns them has changed.
    pub(super) fn with_state<T>(&self, operation: impl FnOnce(&mut State) -> T) -> T {
        let mut state = self.lock();
        state.expire(Instant::now());
        let outcome = operation(&mut state);
        let signal = (
            state.revision(),
            state.is_down(),
            state.faults.dropped_watches,
        );
        self.changed.send_if_modified(|last| {
            let is_new = *last != signal;
            *last = signal;
            is_new
        });
        outcome
    }

    /// Runs `act` after the delay of a slow store, even when the caller goes away meanwhile, as a
    /// store does with a write that it has received. Returns `None` when the store is down.
    pub(super) async fn with_state_delayed<T: Send + 'static>(
        self: Arc<Self>,
        operation: impl FnOnce(&mut State) -> T + Send + 'static,
    ) -> Option<T> {
        let delay = self.with_state(|state| state.faults.delay);
        let delayed = tokio::spawn(async move {
            if !delay.is_zero() {
                tokio::time::sleep(delay).await;
            }
            self.with_state(|state| (!state.is_down()).then(|| operation(state)))
        });
        delayed.await.expect("the change does not panic")
    }

    /// Returns a receiver that wakes at each signal.
    pub(super) fn subscribe(&self) -> watch::Receiver<(u64, bool, u64)> {
        self.changed.subscribe()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .expect("no holder of this lock panics while it changes the state")
    }
}
