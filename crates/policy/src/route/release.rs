//! Release of a request from the queue.

use super::{Key, Shed, Ticket};

/// Release of a request from the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Release {
    /// Send the request to this upstream. It counts as in flight until
    /// [`Balancer::finish`](super::Balancer::finish).
    Send(Ticket, Key),
    /// Refuse the request, which has not run.
    Shed(Ticket, Shed),
}
