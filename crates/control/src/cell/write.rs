//! One write to the store.

/// A write that the caller makes under the revision at which it last wrote or read the segment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Write {
    /// Number of the segment.
    pub segment: u32,
    /// Version of the content, to be given back with the result.
    pub version: u64,
    /// The content.
    pub value: String,
}
