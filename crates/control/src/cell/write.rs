//! Writes to the store.

/// A write of a segment, conditional on the store revision at which the caller last wrote or read
/// it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Write {
    /// Number of the segment.
    pub segment: u32,
    /// Version of the content, which the caller passes back with the result.
    pub version: u64,
    /// The content of the segment.
    pub value: String,
}
