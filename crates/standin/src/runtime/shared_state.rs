//! State shared by the server and the handle.

use std::sync::Mutex;

use tokio::{sync::watch, time::Instant};

use super::TaskTable;

/// The tasks behind their lock, and a signal for calls that wait for the end of a pause.
#[derive(Debug, Default)]
pub(super) struct SharedState {
    table: Mutex<TaskTable>,
    paused: watch::Sender<bool>,
}

impl SharedState {
    /// Runs `act` on the tasks after their progress until now has been counted.
    pub(super) fn with_table<T>(&self, operation: impl FnOnce(&mut TaskTable) -> T) -> T {
        let mut table = self
            .table
            .lock()
            .expect("no holder of this lock panics while it changes the table");
        table.advance(Instant::now());
        let outcome = operation(&mut table);
        self.paused.send_replace(table.is_paused());
        outcome
    }

    /// Waits until the runtime is not paused.
    pub(super) async fn wait_until_resumed(&self) {
        let mut paused = self.paused.subscribe();
        let _ = paused.wait_for(|is_paused| !is_paused).await;
    }
}
