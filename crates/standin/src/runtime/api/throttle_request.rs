//! Body of a throttling call.

use serde::Deserialize;

/// Share of its full speed at which a task runs from now on.
#[derive(Debug, Deserialize)]
pub(super) struct ThrottleRequest {
    pub(super) share_percent: u32,
}
