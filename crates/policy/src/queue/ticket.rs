//! Identifier of a waiting request.

slotmap::new_key_type! {
    /// Identifies a waiting request.
    pub struct Ticket;
}
