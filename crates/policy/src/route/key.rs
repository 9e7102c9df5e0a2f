//! Identifier of an upstream.

slotmap::new_key_type! {
    /// Identifies an upstream within one service.
    pub struct Key;
}
