//! Failures of attempts.

use toucanquay_model::Error;

/// Why an attempt failed, and what is known about its effect.
#[derive(Debug)]
pub(crate) struct AttemptFailure {
    pub(crate) error: Error,
    /// Whether the call may have taken effect or may still do so.
    pub(crate) may_have_effect: bool,
    /// Whether retrying the call is pointless.
    pub(crate) is_permanent: bool,
}

impl AttemptFailure {
    /// Creates the failure of an attempt that had no effect.
    pub(crate) const fn no_effect(error: Error) -> Self {
        Self {
            error,
            may_have_effect: false,
            is_permanent: false,
        }
    }

    /// Creates the failure of an attempt that may have taken effect.
    pub(crate) const fn ambiguous(error: Error) -> Self {
        Self {
            error,
            may_have_effect: true,
            is_permanent: false,
        }
    }

    /// Creates the failure of a call that had no effect and must not be retried: the client's
    /// throttle did not admit it, or the store rejected it as invalid.
    pub(crate) const fn permanent(error: Error) -> Self {
        Self {
            error,
            may_have_effect: false,
            is_permanent: true,
        }
    }

    /// Marks the failed call as idempotent, so that a possible effect does not matter.
    pub(crate) fn into_idempotent(mut self) -> Self {
        self.may_have_effect = false;
        self
    }
}
