//! Sends the response to the entry.

use std::time::Duration;

use tokio::time::{Instant, timeout_at};
use tokio_util::sync::CancellationToken;
use toucanquay_model::{Error, ErrorKind, request};
use toucanquay_wire::{End, Failure, Frame, Sender};

/// Maximum time for which a request that must not be repeated continues after its entry has
/// disconnected or its deadline has passed. No service has a longer deadline.
const DETACHED_TIMEOUT: Duration = Duration::from_secs(600);

/// Timeout for sending a failure frame.
const FAILURE_TIMEOUT: Duration = Duration::from_secs(1);

/// Sends the response to the entry, which may disconnect at any time.
///
/// If it does, or if the deadline passes, a request that may be repeated is aborted. Any other
/// request continues without the entry.
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
    /// Creates the sender for request `id`. `is_safe` tells whether the request may be repeated.
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

    /// Waits for `work` until the request is to be aborted.
    ///
    /// # Errors
    ///
    /// The reason to abort the request: [`ErrorKind::DeadlineWhileRunning`], or
    /// [`ErrorKind::OutcomeUnknown`] when the entry has disconnected or the companion stops.
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

    /// Sends a frame, unless the entry has disconnected.
    ///
    /// # Errors
    ///
    /// The same as [`Self::wait`].
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

    /// Sends the end frame, which marks the response as complete.
    pub async fn finish(mut self, length: u64) {
        let end = End {
            id: self.id,
            length,
        };
        if self.send(&Frame::End(end)).await.is_ok() && self.is_attached {
            // All frames are sent, so an error of closing the stream can be ignored.
            let _ = self.sender.finish();
        }
    }

    /// Sends the reason why there is no complete response, unless the entry has disconnected.
    pub async fn fail(mut self, error: Error) {
        if self.is_attached {
            self.send_failure(error).await;
        }
    }

    /// Detaches the request from its entry if it must not be repeated; returns `error` otherwise.
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
            // As in `finish`, an error of closing the stream can be ignored.
            let _ = self.sender.finish();
        }
    }
}

fn entry_disconnected() -> Error {
    Error::new(ErrorKind::OutcomeUnknown).context("the entry disconnected")
}

fn companion_stopped() -> Error {
    Error::new(ErrorKind::OutcomeUnknown)
        .context("the companion stopped before the end of the response")
}
