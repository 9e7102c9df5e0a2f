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

use super::Mailbox;

/// The owner's role. It has a [`Mailbox`] while this entry holds it.
#[derive(Debug, Default)]
pub struct Role {
    mailbox: Mutex<Option<Arc<Mailbox>>>,
    is_vacant: AtomicBool,
    vacant: Notify,
    retire: CancellationToken,
}

impl Role {
    /// Answers a companion's report, or returns `None` where this entry is not the owner.
    pub async fn exchange(&self, report: Report) -> Option<Command> {
        self.mailbox()?.exchange(report).await
    }

    /// Answers a call about jobs, or returns `None` where this entry is not the owner.
    pub async fn job(&self, call: &Call) -> Option<Reply> {
        self.mailbox()?.job(call).await
    }

    /// Tells whether this entry holds the role.
    pub fn is_held(&self) -> bool {
        self.mailbox().is_some()
    }

    /// Says that the configuration of this entry has changed.
    pub fn configuration_changed(&self) {
        if let Some(mailbox) = self.mailbox() {
            mailbox.wake();
        }
    }

    /// Says that the cell has no holder.
    pub fn vacate(&self) {
        self.is_vacant.store(true, Ordering::Relaxed);
        self.vacant.notify_one();
    }

    /// Waits until the cell has no holder, and forgets it.
    pub async fn vacated(&self) {
        while !self.is_vacant.swap(false, Ordering::Relaxed) {
            self.vacant.notified().await;
        }
    }

    /// Gives the role up for good.
    pub fn retire(&self) {
        self.retire.cancel();
    }

    /// Tells whether the entry has given the role up for good.
    pub fn is_retired(&self) -> bool {
        self.retire.is_cancelled()
    }

    /// Waits until the entry gives the role up for good.
    pub async fn retired(&self) {
        self.retire.cancelled().await;
    }

    /// Puts the mailbox in place, or takes it away.
    pub(super) fn set_mailbox(&self, mailbox: Option<Arc<Mailbox>>) {
        *self.lock() = mailbox;
    }

    fn mailbox(&self) -> Option<Arc<Mailbox>> {
        self.lock().clone()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Option<Arc<Mailbox>>> {
        self.mailbox
            .lock()
            .expect("no holder of this lock panics while it changes the mailbox")
    }
}
