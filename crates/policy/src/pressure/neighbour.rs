//! A task that disturbs others.

/// A task beside a sensitive one.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Neighbour {
    /// Key of its image, from [`Model::key`](super::Model::key).
    pub image: usize,
    /// Processors in use, as a share of the worker's.
    pub share: f64,
}
