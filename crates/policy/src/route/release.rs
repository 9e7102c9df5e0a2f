//! End of a wait.

use super::{Key, Shed, Ticket};

/// End of a wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Release {
    /// Send the request to this upstream. It counts as in flight until `Balancer::finish`.
    Send(Ticket, Key),
    /// Refuse the request as not run.
    Shed(Ticket, Shed),
}
