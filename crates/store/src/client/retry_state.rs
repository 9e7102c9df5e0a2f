//! Retries of a call.

use tokio::time::Instant;
use toucanquay_model::{Error, ErrorKind};

use super::{AttemptFailure, Client, transport::ATTEMPT_TIME_MIN};

/// The state of the attempts of one call.
#[derive(Debug)]
pub(super) struct RetryState {
    deadline: Instant,
    failures: u32,
    is_ambiguous: bool,
}

impl RetryState {
    pub(super) const fn new(deadline: Instant) -> Self {
        Self {
            deadline,
            failures: 0,
            is_ambiguous: false,
        }
    }

    /// Returns whether an earlier attempt may have taken effect.
    pub(super) const fn is_ambiguous(&self) -> bool {
        self.is_ambiguous
    }

    /// Waits until the next attempt, or returns the call's error if no further attempt is possible.
    pub(super) async fn wait_for_next(
        &mut self,
        client: &Client,
        failure: AttemptFailure,
    ) -> Result<(), Error> {
        self.is_ambiguous |= failure.may_have_effect;
        let next_attempt_at = Instant::now() + client.backoff_delay(self.failures);
        self.failures += 1;
        if failure.is_permanent || next_attempt_at + ATTEMPT_TIME_MIN >= self.deadline {
            return Err(self.final_error(failure.error));
        }
        tokio::time::sleep_until(next_attempt_at).await;
        Ok(())
    }

    /// Returns the error of a call whose last attempt failed with `error`:
    /// [`ErrorKind::OutcomeUnknown`] if an attempt may have taken effect.
    pub(super) fn final_error(&self, error: Error) -> Error {
        if self.is_ambiguous {
            return Error::new(ErrorKind::OutcomeUnknown).context(error);
        }
        error
    }
}
