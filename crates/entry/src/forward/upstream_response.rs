//! Response of an upstream.

use bytes::Bytes;
use toucanquay_model::{Error, ErrorKind};
use toucanquay_wire::{Frame, Stream, response::Head};

/// A response whose head has arrived and whose body is being received.
#[derive(Debug)]
pub struct UpstreamResponse {
    /// Head of the response.
    pub head: Head,
    stream: Stream,
    received: u64,
    is_complete: bool,
}

impl UpstreamResponse {
    /// Returns the response with `head` whose body is read from `stream`.
    #[must_use]
    pub const fn new(head: Head, stream: Stream) -> Self {
        Self {
            head,
            stream,
            received: 0,
            is_complete: false,
        }
    }

    /// Receives the next part of the body; returns `None` when the body is complete.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::TruncatedAnswer`] if the body ends early or has the wrong length,
    /// [`ErrorKind::Protocol`] if a frame belongs to another request.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Error> {
        if self.is_complete {
            return Ok(None);
        }
        let frame = self.stream.recv().await.map_err(truncated)?;
        match frame {
            Some(Frame::Body(part)) => {
                self.received += part.len() as u64;
                Ok(Some(part))
            }
            Some(Frame::End(end)) if end.id != self.head.id => {
                Err(Error::new(ErrorKind::Protocol).context("end frame of another request"))
            }
            Some(Frame::End(end)) if end.length != self.received => {
                let lengths = format!("{} of {} bytes", self.received, end.length);
                Err(Error::new(ErrorKind::TruncatedAnswer).context(lengths))
            }
            Some(Frame::End(_)) => {
                self.is_complete = true;
                Ok(None)
            }
            Some(Frame::Failure(failure)) => Err(truncated(failure.error)),
            Some(_) => Err(Error::new(ErrorKind::Protocol).context("unexpected frame")),
            None => Err(truncated("stream ended before the end of the body")),
        }
    }
}

fn truncated(cause: impl std::fmt::Display) -> Error {
    Error::new(ErrorKind::TruncatedAnswer).context(cause)
}
