//! The owner's role, as seen by the listeners and background tasks of an entry.

use std::sync::{
    Arc, Mutex,
    atomic::{AtomicBool, Ordering},
};

use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;
use toucanquay_model::{
    exchange::{Command, Report},
    job::{Call, Reply},
};

use super::CellHandle;

/// The owner's role. It has a [`CellHandle`] while this entry holds it.
#[derive(Debug, Default)]
pub struct Role {
    cell_handle: Mutex<Option<Arc<CellHandle>>>,
    is_vacant: AtomicBool,
    vacancy: Notify,
    retirement: CancellationToken,
}

impl Role {
    /// Replies to a companion's report, or returns `None` if this entry is not the owner.
    pub async fn exchange(&self, report: Report) -> Option<Command> {
        self.cell_handle()?.exchange(report).await
    }

    /// Executes a call about jobs, or returns `None` if this entry is not the owner.
    pub async fn job(&self, call: &Call) -> Option<Reply> {
        self.cell_handle()?.job(call).await
    }

    /// Returns whether this entry holds the role.
    pub fn is_held(&self) -> bool {
        self.cell_handle().is_some()
    }

    /// Notifies the cell of a configuration change.
    pub fn configuration_changed(&self) {
        if let Some(cell_handle) = self.cell_handle() {
            cell_handle.wake();
        }
    }

    /// Marks the role as vacant.
    pub fn set_vacant(&self) {
        self.is_vacant.store(true, Ordering::Relaxed);
        self.vacancy.notify_one();
    }

    /// Waits until the role is marked as vacant, and clears the mark.
    pub async fn wait_vacant(&self) {
        while !self.is_vacant.swap(false, Ordering::Relaxed) {
            self.vacancy.notified().await;
        }
    }

    /// Gives up the role permanently.
    pub fn retire(&self) {
        self.retirement.cancel();
    }

    /// Returns whether the entry has given up the role permanently.
    pub fn is_retired(&self) -> bool {
        self.retirement.is_cancelled()
    }

    /// Waits until the entry gives up the role permanently.
    pub async fn wait_retired(&self) {
        self.retirement.cancelled().await;
    }

    /// Sets or clears the handle of the cell.
    pub(super) fn set_cell_handle(&self, cell_handle: Option<Arc<CellHandle>>) {
        *self.lock() = cell_handle;
    }

    fn cell_handle(&self) -> Option<Arc<CellHandle>> {
        self.lock().clone()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Option<Arc<CellHandle>>> {
        self.cell_handle
            .lock()
            .expect("no thread panics while it holds this lock")
    }
}
