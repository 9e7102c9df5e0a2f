//! The way back to the entry.

use std::time::Duration;

use tokio::time::{Instant, timeout_at};
use tokio_util::sync::CancellationToken;
use toucanquay_model::{Error, ErrorKind, request};
use toucanquay_wire::{End, Failure, Frame, Sender};

/// Longest time that a request which must not be repeated runs on after its entry went away. No
/// service has a longer deadline.
const DETACHED_TIMEOUT: Duration = Duration::from_secs(600);

/// Longest wait for the sending of a failure.
const FAILURE_TIMEOUT: Duration = Duration::from_secs(1);

/// The way back to the entry, which may go away at any time.
///
/// When it does, a request that may be repeated is ended, and any other one runs on without it.
#[derive(Debug)]
pub struct ResponseSender {
    id: request::Id,
    sender: Sender,
    deadline: Instant,
    is_safe: bool,
    is_attached: bool,
    abort: CancellationToken,
}

impl ResponseSender {
    /// Returns the way back for request `id`. `is_safe` says that the request may be repeated.
    #[must_use]
    pub const fn new(
        id: request::Id,
        sender: Sender,
        deadline: Instant,
        is_safe: bool,
        abort: CancellationToken,
    ) -> Self {
        Self {
            id,
            sender,
            deadline,
            is_safe,
            is_attached: true,
            abort,
        }
    }

    /// Waits for `work` as long as the request is to run.
    ///
    /// # Errors
    ///
    /// Why the request is to end: [`ErrorKind::DeadlineWhileRunning`], or
    /// [`ErrorKind::OutcomeUnknown`] when the entry went away or the companion stops.
    pub async fn wait<T>(&mut self, work: impl Future<Output = T>) -> Result<T, Error> {
        tokio::pin!(work);
        loop {
            let error = tokio::select! {
                biased;
                result = &mut work => return Ok(result),
                () = self.abort.cancelled() => return Err(companion_stopped()),
                () = tokio::time::sleep_until(self.deadline) => {
                    Error::new(ErrorKind::DeadlineWhileRunning)
                }
                () = self.sender.closed(), if self.is_attached => entry_disconnected(),
            };
            self.detach(error).await?;
        }
    }

    /// Sends a frame, unless the entry went away.
    ///
    /// # Errors
    ///
    /// Those of [`Self::wait`].
    pub async fn send(&mut self, frame: &Frame) -> Result<(), Error> {
        if !self.is_attached {
            return Ok(());
        }
        let sent = tokio::select! {
            sent = timeout_at(self.deadline, self.sender.send(frame)) => sent,
            () = self.abort.cancelled() => return Err(companion_stopped()),
        };
        match sent {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_broken)) => self.detach(entry_disconnected()).await,
            Err(_elapsed) => {
                self.detach(Error::new(ErrorKind::DeadlineWhileRunning))
                    .await
            }
        }
    }

    /// Marks the answer as complete.
    pub async fn finish(mut self, length: u64) {
        let end = End {
            id: self.id,
            length,
        };
        if self.send(&Frame::End(end)).await.is_ok() && self.is_attached {
            // The entry has all frames; it does not matter whether it still listens.
            let _ = self.sender.finish();
        }
    }

    /// Says why there is no whole answer, unless the entry went away.
    pub async fn fail(mut self, error: Error) {
        if self.is_attached {
            self.send_failure(error).await;
        }
    }

    /// Goes on without the entry if the request must not be repeated.
    async fn detach(&mut self, error: Error) -> Result<(), Error> {
        if self.is_safe || !self.is_attached {
            return Err(error);
        }
        self.is_attached = false;
        self.deadline = Instant::now() + DETACHED_TIMEOUT;
        self.send_failure(error).await;
        Ok(())
    }

    async fn send_failure(&mut self, error: Error) {
        let failure = Frame::Failure(Failure { id: self.id, error });
        let deadline = Instant::now() + FAILURE_TIMEOUT;
        let sent = timeout_at(deadline, self.sender.send(&failure)).await;
        if matches!(sent, Ok(Ok(()))) {
            // As in `end`, nothing depends on whether the entry still listens.
            let _ = self.sender.finish();
        }
    }
}

fn entry_disconnected() -> Error {
    Error::new(ErrorKind::OutcomeUnknown).context("the entry went away")
}

fn companion_stopped() -> Error {
    Error::new(ErrorKind::OutcomeUnknown).context("the companion stopped before the answer's end")
}
