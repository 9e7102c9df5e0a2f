//! The owner's role: drives the scheduler while the process holds the role.

mod driver;
mod event;

use std::sync::Arc;

use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;
use toucanquay_model::{Epoch, Revision, Time};

use super::{Shared, takeover};
use driver::Driver;
pub(super) use event::Event;

/// Events that may wait for the owner.
const EVENT_QUEUE_CAPACITY: usize = 1_024;

/// The owner's role of this process.
#[derive(Debug)]
pub(super) struct Owner {
    shared: Arc<Shared>,
    mailbox: mpsc::Sender<Event>,
    stop: CancellationToken,
}

impl Owner {
    /// Loads the state and begins to place tasks.
    pub(super) fn start(
        shared: &Arc<Shared>,
        epoch: Epoch,
        fence: Revision,
        ownership_until: Time,
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
            let loaded = takeover::load(&shared, epoch, fence).await;
            shared.set_mailbox(Some(mailbox.clone()));
            Driver::new(shared, mailbox, loaded, fence, ownership_until)
                .run(events)
                .await;
        };
        tokio::spawn(async move { stop.run_until_cancelled(task).await });
        owner
    }

    /// Extends the owner's authority.
    pub(super) async fn extend_ownership(&self, until: Time) {
        // Before the state is loaded nobody reads the mailbox; it has room for many renewals.
        let _ = self.mailbox.send(Event::OwnershipExtended(until)).await;
    }

    /// Ends the role in this process.
    pub(super) fn stop(&self) {
        self.shared.set_mailbox(None);
        self.stop.cancel();
    }
}
