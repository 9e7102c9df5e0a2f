//! State shared by the server and the handle.

use std::sync::{Mutex, MutexGuard};

use tokio::{sync::watch, time::Instant};

use super::State;

/// The state behind its lock, and a signal for waiting watches.
#[derive(Debug, Default)]
pub(super) struct Shared {
    state: Mutex<State>,
    changed: watch::Sender<(u64, bool, u64)>,
}

impl Shared {
    /// Runs `act` on the state, after expired leases have been ended. Wakes the watches when the
    /// revision or a fault that concerns them has changed.
    pub(super) fn change<T>(&self, act: impl FnOnce(&mut State) -> T) -> T {
        let mut state = self.lock();
        state.expire(Instant::now());
        let outcome = act(&mut state);
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

    /// Returns a receiver that wakes at each signal.
    pub(super) fn changes(&self) -> watch::Receiver<(u64, bool, u64)> {
        self.changed.subscribe()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .expect("no holder of this lock panics while it changes the state")
    }
}
