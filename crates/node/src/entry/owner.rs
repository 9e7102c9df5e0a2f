//! The owner, which runs the scheduler while this process holds ownership.

mod driver;
mod event;
mod event_log;
mod held_session;
mod withdrawn;

use std::sync::Arc;

use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;
use toucanquay_model::{Epoch, Revision, Time};

use super::{Shared, predecessor::Predecessor, takeover};
use driver::Driver;
pub(super) use event::Event;

/// Maximum number of events queued for the owner.
const EVENT_QUEUE_CAPACITY: usize = 1_024;

/// Handle to the owner running in this process.
#[derive(Debug)]
pub(super) struct Owner {
    shared: Arc<Shared>,
    mailbox: mpsc::Sender<Event>,
    stop: CancellationToken,
}

impl Owner {
    /// Starts a task that loads the state from the store and then places tasks.
    pub(super) fn start(
        shared: &Arc<Shared>,
        epoch: Epoch,
        fence: Revision,
        ownership_until: Time,
        predecessor: Predecessor,
    ) -> Self {
        let (mailbox, events) = mpsc::channel(EVENT_QUEUE_CAPACITY);
        let stop = shared.stop.child_token();
        let owner = Self {
            shared: shared.clone(),
            mailbox: mailbox.clone(),
            stop: stop.clone(),
        };
        let shared = shared.clone();
        let task = async move {
            let loaded = takeover::load(&shared, epoch, fence, &predecessor).await;
            shared.set_mailbox(Some(mailbox.clone()));
            Driver::new(shared, mailbox, loaded, fence, ownership_until)
                .run(events)
                .await;
        };
        tokio::spawn(async move { stop.run_until_cancelled(task).await });
        owner
    }

    /// Extends the time until which the owner may act.
    pub(super) async fn extend_ownership(&self, until: Time) {
        // The mailbox isn't read until the state is loaded. Its capacity is sufficient for
        // many renewals.
        let _ = self.mailbox.send(Event::OwnershipExtended(until)).await;
    }

    /// Waits until the owner's task has ended, which happens without [`stop`](Self::stop) only after
    /// another owner has taken over or after an unexpected error.
    pub(super) async fn ended(&self) {
        // The task owns the receiving half.
        self.mailbox.closed().await;
    }

    /// Stops the owner.
    pub(super) fn stop(&self) {
        self.shared.set_mailbox(None);
        self.stop.cancel();
    }
}
