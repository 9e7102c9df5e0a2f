//! Attempts without an answer.

use toucanquay_model::Error;

/// Why an attempt has no answer, and what is known about its effect.
#[derive(Debug)]
pub(crate) struct AttemptFailure {
    pub(crate) error: Error,
    /// Whether the call may have taken effect or may still do so.
    pub(crate) may_have_effect: bool,
    /// Whether another attempt of the same call is of no use.
    pub(crate) is_permanent: bool,
}

impl AttemptFailure {
    /// Returns the failure of an attempt that had no effect.
    pub(crate) const fn no_effect(error: Error) -> Self {
        Self {
            error,
            may_have_effect: false,
            is_permanent: false,
        }
    }

    /// Returns the failure of an attempt whose effect is unknown.
    pub(crate) const fn ambiguous(error: Error) -> Self {
        Self {
            error,
            may_have_effect: true,
            is_permanent: false,
        }
    }

    /// Returns the failure of a call that was refused before it was sent.
    pub(crate) const fn permanent(error: Error) -> Self {
        Self {
            error,
            may_have_effect: false,
            is_permanent: true,
        }
    }

    /// Returns this failure for a call that can be made twice without harm.
    pub(crate) fn into_idempotent(mut self) -> Self {
        self.may_have_effect = false;
        self
    }
}
