//! Kinds of requests that do not compete for the same slots.

/// Kind of a request, each with lanes of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum TrafficClass {
    /// A request that is answered and over.
    Request,
    /// A request whose answer may stay open without end.
    Watch,
}
