//! Session to a host that gets no orders yet.

use tokio::sync::mpsc;
use toucanquay_model::session::{Orders, Update};

/// Session to a host that the record of silent hosts may name.
#[derive(Debug)]
pub(super) struct HeldSession {
    pub(super) orders: mpsc::Sender<Orders>,
    /// All updates in their order: each contains only the ends that the earlier ones don't.
    pub(super) updates: Vec<Update>,
}

impl HeldSession {
    pub(super) const fn new(orders: mpsc::Sender<Orders>) -> Self {
        Self {
            orders,
            updates: Vec::new(),
        }
    }
}
