//! The owner's role, as the listeners of an entry see it.

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
    /// Answers a companion's report, or returns `None` where this entry is not the owner.
    pub async fn exchange(&self, report: Report) -> Option<Command> {
        self.cell_handle()?.exchange(report).await
    }

    /// Answers a call about jobs, or returns `None` where this entry is not the owner.
    pub async fn job(&self, call: &Call) -> Option<Reply> {
        self.cell_handle()?.job(call).await
    }

    /// Tells whether this entry holds the role.
    pub fn is_held(&self) -> bool {
        self.cell_handle().is_some()
    }

    /// Says that the configuration of this entry has changed.
    pub fn configuration_changed(&self) {
        if let Some(cell_handle) = self.cell_handle() {
            cell_handle.wake();
        }
    }

    /// Says that the cell has no holder.
    pub fn set_vacant(&self) {
        self.is_vacant.store(true, Ordering::Relaxed);
        self.vacancy.notify_one();
    }

    /// Waits until the cell has no holder, and forgets it.
    pub async fn wait_vacant(&self) {
        while !self.is_vacant.swap(false, Ordering::Relaxed) {
            self.vacancy.notified().await;
        }
    }

    /// Gives the role up for good.
    pub fn retire(&self) {
        self.retirement.cancel();
    }

    /// Tells whether the entry has given the role up for good.
    pub fn is_retired(&self) -> bool {
        self.retirement.is_cancelled()
    }

    /// Waits until the entry gives the role up for good.
    pub async fn wait_retired(&self) {
        self.retirement.cancelled().await;
    }

    /// Puts the mailbox in place, or takes it away.
    pub(super) fn set_cell_handle(&self, cell_handle: Option<Arc<CellHandle>>) {
        *self.lock() = cell_handle;
    }

    fn cell_handle(&self) -> Option<Arc<CellHandle>> {
        self.lock().clone()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Option<Arc<CellHandle>>> {
        self.cell_handle
            .lock()
            .expect("no holder of this lock panics while it changes the mailbox")
    }
}
