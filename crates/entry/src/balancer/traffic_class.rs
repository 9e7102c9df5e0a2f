//! Traffic classes.

/// Class of a request. Classes have separate balancers and do not compete for the same slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum TrafficClass {
    /// A request with a finite response.
    Request,
    /// A request whose response may stay open indefinitely.
    Watch,
}
