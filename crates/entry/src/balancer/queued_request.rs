//! Queued requests.

use std::sync::Arc;

use tokio::sync::oneshot;
use toucanquay_policy::route::Ticket;

use super::{Permit, Rejection, ServiceBalancer};

/// Result of waiting for an upstream.
pub(super) type AcquireResult = Result<Permit, Rejection>;

/// A request in the queue of a balancer. Dropping it removes the request from the queue.
#[derive(Debug)]
pub(super) struct QueuedRequest {
    balancer: Arc<ServiceBalancer>,
    ticket: Ticket,
    released: oneshot::Receiver<AcquireResult>,
}

impl QueuedRequest {
    pub(super) const fn new(
        balancer: Arc<ServiceBalancer>,
        ticket: Ticket,
        released: oneshot::Receiver<AcquireResult>,
    ) -> Self {
        Self {
            balancer,
            ticket,
            released,
        }
    }

    /// Waits for a permit or a rejection.
    pub(super) async fn wait(mut self) -> AcquireResult {
        (&mut self.released)
            .await
            .expect("the balancer keeps the sender until it releases the ticket")
    }
}

impl Drop for QueuedRequest {
    fn drop(&mut self) {
        self.balancer.cancel(self.ticket);
    }
}
