//! Simulated request of a client.

use toucanquay_policy::route::{self, Key};

/// Simulated request of a client, with its state at the entry.
#[derive(Debug)]
pub struct Request {
    pub entry: usize,
    pub arrived_at: u64,
    pub deadline: u64,
    /// Service time on an idle worker, in microseconds.
    pub service_micros: f64,
    /// Number of the current attempt. Events of earlier attempts are ignored.
    pub attempt: u32,
    pub worker: usize,
    pub key: Option<Key>,
    pub sent_at: u64,
    pub routing: route::Request,
}
