//! State shared by the server and the handle.

mod record;

use std::sync::{Mutex, MutexGuard, atomic::AtomicUsize};

use record::Record;

/// Settings and counts behind their lock, and the requests in progress.
#[derive(Debug, Default)]
pub(super) struct Shared {
    record: Mutex<Record>,
    pub(super) in_flight: AtomicUsize,
}

impl Shared {
    pub(super) fn lock(&self) -> MutexGuard<'_, Record> {
        self.record
            .lock()
            .expect("no holder of this lock panics while it changes the record")
    }
}
