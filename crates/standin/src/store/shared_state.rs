//! State shared by the HTTP handlers and the store's handle.

use std::sync::{Arc, Mutex, MutexGuard};

use tokio::{sync::watch, time::Instant};

use super::State;

/// Lock-protected state of the store, with a signal for waiting watches.
#[derive(Debug, Default)]
pub(super) struct SharedState {
    state: Mutex<State>,
    /// Revision, whether the store is down, and number of times that all watches were dropped.
    changed: watch::Sender<(u64, bool, u64)>,
}

impl SharedState {
    /// Runs `operation` on the state, after ending expired leases. Wakes the waiting watches if the
    /// revision or a fault that affects them has changed.
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

    /// Runs `operation` after the injected delay, even if the caller disconnects in the meantime:
    /// a real store also completes a write that it has received. Returns `None` if the store is
    /// down.
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
        delayed.await.expect("the operation does not panic")
    }

    /// Returns a receiver that is notified of each signal to the watches.
    pub(super) fn subscribe(&self) -> watch::Receiver<(u64, bool, u64)> {
        self.changed.subscribe()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .expect("no thread panics while it holds the lock on the state")
    }
}
