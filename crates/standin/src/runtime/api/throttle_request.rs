//! Body of a throttle.

use serde::Deserialize;

/// The share of its speed that a task may have.
#[derive(Debug, Deserialize)]
pub(super) struct ThrottleRequest {
    pub(super) share_percent: u32,
}
