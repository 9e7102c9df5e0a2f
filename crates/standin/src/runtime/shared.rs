//! State shared by the server and the handle.

use std::sync::Mutex;

use tokio::{sync::watch, time::Instant};

use super::Table;

/// The tasks behind their lock, and a signal for calls that wait for the end of a pause.
#[derive(Debug, Default)]
pub(super) struct Shared {
    table: Mutex<Table>,
    paused: watch::Sender<bool>,
}

impl Shared {
    /// Runs `act` on the tasks after their progress until now has been counted.
    pub(super) fn change<T>(&self, act: impl FnOnce(&mut Table) -> T) -> T {
        let mut table = self
            .table
            .lock()
            .expect("no holder of this lock panics while it changes the table");
        table.advance(Instant::now());
        let outcome = act(&mut table);
        self.paused.send_replace(table.is_paused());
        outcome
    }

    /// Waits until the runtime is not paused.
    pub(super) async fn resumed(&self) {
        let mut paused = self.paused.subscribe();
        let _ = paused.wait_for(|is_paused| !is_paused).await;
    }
}
