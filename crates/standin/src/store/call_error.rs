//! Errors of calls that change the store.

use super::Item;

/// Reason for which a call had no effect.
#[derive(Debug)]
pub(super) enum CallError {
    /// The key or the lease does not exist.
    NotFound,
    /// The key does not have the expected revision. Contains the current item, if the key exists.
    Conflict(Option<Item>),
    /// The lease to attach the key to does not exist.
    LeaseNotFound,
}
