//! What to do with a request.

use super::{Key, Shed, Ticket};

/// What to do with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Send it to this upstream. It counts as in flight until `Balancer::finish`.
    Send(Key),
    /// Keep it until `Balancer::tick` releases the ticket.
    Wait(Ticket),
    /// Refuse it as not run.
    Shed(Shed),
}
