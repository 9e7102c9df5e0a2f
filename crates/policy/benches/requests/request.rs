//! A client's request.

use toucanquay_policy::route::{self, Key};

/// A client's request with its state at the entry.
#[derive(Debug)]
pub struct Request {
    pub entry: usize,
    pub arrived_at: u64,
    pub deadline: u64,
    /// Service time on an idle worker, in microseconds.
    pub service_micros: f64,
    /// Number of the current attempt; events of earlier ones are void.
    pub attempt: u32,
    pub worker: usize,
    pub key: Option<Key>,
    pub sent_at: u64,
    pub routing: route::Request,
}
