//! Repeats a call.

use tokio::time::Instant;
use toucanquay_model::{Error, ErrorKind};

use super::{Client, Failure, transport::ATTEMPT_LEAST};

/// The attempts of one call so far.
#[derive(Debug)]
pub(super) struct Retry {
    deadline: Instant,
    failures: u32,
    is_ambiguous: bool,
}

impl Retry {
    pub(super) const fn new(deadline: Instant) -> Self {
        Self {
            deadline,
            failures: 0,
            is_ambiguous: false,
        }
    }

    /// Tells whether an earlier attempt may have taken effect.
    pub(super) const fn is_ambiguous(&self) -> bool {
        self.is_ambiguous
    }

    /// Waits before the next attempt, or returns the call's error when there is none.
    pub(super) async fn wait(&mut self, client: &Client, failure: Failure) -> Result<(), Error> {
        self.is_ambiguous |= failure.may_have_run;
        let next = Instant::now() + client.backoff_wait(self.failures);
        self.failures += 1;
        if failure.is_final || next + ATTEMPT_LEAST >= self.deadline {
            return Err(self.error(failure.error));
        }
        tokio::time::sleep_until(next).await;
        Ok(())
    }

    /// Returns the error of a call whose last attempt ended with `error`.
    pub(super) fn error(&self, error: Error) -> Error {
        if self.is_ambiguous {
            return Error::new(ErrorKind::OutcomeUnknown).context(error);
        }
        error
    }
}
