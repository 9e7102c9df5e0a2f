//! Queue to which a request is routed.

use toucanquay_model::graph::Queue;

/// Queue of a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Target {
    /// Name of the queue.
    pub queue: String,
    /// Settings of the queue.
    pub policy: Queue,
    /// Rest of the request's path after the prefix of the route.
    pub path_suffix: String,
}
