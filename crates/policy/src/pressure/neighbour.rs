//! A task that disturbs others.

/// A task beside a sensitive one.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Neighbour {
    /// Key of its image, from [`InterferenceModel::intern_image`](super::InterferenceModel::intern_image).
    pub image: usize,
    /// Processors in use, as a share of the worker's.
    pub processor_share: f64,
}
