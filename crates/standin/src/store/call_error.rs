//! Refusals of calls with an effect.

use super::Item;

/// Why a call had no effect.
#[derive(Debug)]
pub(super) enum CallError {
    /// The key or the lease does not exist.
    NotFound,
    /// The key is not as expected.
    Conflict(Option<Item>),
    /// The lease of the write has ended.
    LeaseNotFound,
}
