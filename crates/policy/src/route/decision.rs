//! Decision on a request.

use super::{Key, Shed, Ticket};

/// Decision on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Send the request to this upstream. It counts as in flight until
    /// [`Balancer::finish`](super::Balancer::finish).
    Send(Key),
    /// Hold the request until [`Balancer::tick`](super::Balancer::tick) releases the ticket.
    Wait(Ticket),
    /// Refuse the request, which has not run.
    Shed(Shed),
}
