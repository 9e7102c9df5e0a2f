//! Key of an upstream.

slotmap::new_key_type! {
    /// Identifies an upstream among the candidates of one service.
    pub struct Key;
}
