//! State shared by the HTTP handlers and the upstream's handle.

mod state;

use std::sync::{Mutex, MutexGuard, atomic::AtomicUsize};

use state::State;

/// Lock-protected settings and counts, and the number of requests in progress.
#[derive(Debug, Default)]
pub(super) struct SharedState {
    state: Mutex<State>,
    pub(super) in_flight: AtomicUsize,
}

impl SharedState {
    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .expect("no thread panics while it holds the lock on the state")
    }
}
