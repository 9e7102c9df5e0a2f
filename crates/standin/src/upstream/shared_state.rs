//! State shared by the server and the handle.

mod state;

use std::sync::{Mutex, MutexGuard, atomic::AtomicUsize};

use state::State;

/// Settings and counts behind their lock, and the requests in progress.
#[derive(Debug, Default)]
pub(super) struct SharedState {
    state: Mutex<State>,
    pub(super) in_flight: AtomicUsize,
}

impl SharedState {
    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .expect("no holder of this lock panics while it changes the record")
    }
}
