//! A task that interferes with others.

/// A task that runs on the same worker as a latency-sensitive one.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Neighbour {
    /// Key of its image, from
    /// [`InterferenceModel::intern_image`](super::InterferenceModel::intern_image).
    pub image: usize,
    /// Processors in use, as a fraction of the worker's processors.
    pub processor_share: f64,
}
