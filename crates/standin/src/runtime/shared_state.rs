//! State shared by the HTTP handlers and the runtime's handle.

use std::sync::Mutex;

use tokio::{sync::watch, time::Instant};

use super::TaskTable;

/// Lock-protected task table, with a signal for calls that wait for the end of a pause.
#[derive(Debug, Default)]
pub(super) struct SharedState {
    table: Mutex<TaskTable>,
    paused: watch::Sender<bool>,
}

impl SharedState {
    /// Runs `operation` on the task table, after advancing all tasks to the current time.
    pub(super) fn with_table<T>(&self, operation: impl FnOnce(&mut TaskTable) -> T) -> T {
        let mut table = self
            .table
            .lock()
            .expect("no thread panics while it holds the lock on the table");
        table.advance(Instant::now());
        let outcome = operation(&mut table);
        self.paused.send_replace(table.is_paused());
        outcome
    }

    /// Waits while the runtime is paused.
    pub(super) async fn wait_until_resumed(&self) {
        let mut paused = self.paused.subscribe();
        let _ = paused.wait_for(|is_paused| !is_paused).await;
    }
}
