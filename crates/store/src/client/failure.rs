//! Attempts without an answer.

use toucanquay_model::Error;

/// Why an attempt has no answer, and what is known about its effect.
#[derive(Debug)]
pub(crate) struct Failure {
    pub(crate) error: Error,
    /// Whether the call may have taken effect or may still do so.
    pub(crate) may_have_run: bool,
    /// Whether another attempt of the same call is of no use.
    pub(crate) is_final: bool,
}

impl Failure {
    /// Returns the failure of an attempt that had no effect.
    pub(crate) const fn not_run(error: Error) -> Self {
        Self {
            error,
            may_have_run: false,
            is_final: false,
        }
    }

    /// Returns the failure of an attempt whose effect is unknown.
    pub(crate) const fn unknown(error: Error) -> Self {
        Self {
            error,
            may_have_run: true,
            is_final: false,
        }
    }

    /// Returns the failure of a call that was refused before it was sent.
    pub(crate) const fn refused(error: Error) -> Self {
        Self {
            error,
            may_have_run: false,
            is_final: true,
        }
    }

    /// Returns this failure for a call that can be made twice without harm.
    pub(crate) fn without_effect(mut self) -> Self {
        self.may_have_run = false;
        self
    }
}
