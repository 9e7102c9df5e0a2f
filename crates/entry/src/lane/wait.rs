//! A waiting request.

use std::sync::Arc;

use tokio::sync::oneshot;
use toucanquay_policy::route::Ticket;

use super::{Lane, Permit, Refused};

/// What ends a wait.
pub(super) type Release = Result<Permit, Refused>;

/// A request in the queue of a lane. Dropping it takes the request out of the queue.
#[derive(Debug)]
pub(super) struct Wait {
    lane: Arc<Lane>,
    ticket: Ticket,
    released: oneshot::Receiver<Release>,
}

impl Wait {
    pub(super) const fn new(
        lane: Arc<Lane>,
        ticket: Ticket,
        released: oneshot::Receiver<Release>,
    ) -> Self {
        Self {
            lane,
            ticket,
            released,
        }
    }

    /// Waits for an upstream or a refusal.
    pub(super) async fn end(mut self) -> Release {
        (&mut self.released)
            .await
            .expect("a lane keeps the sender until it releases the ticket")
    }
}

impl Drop for Wait {
    fn drop(&mut self) {
        self.lane.cancel(self.ticket);
    }
}
