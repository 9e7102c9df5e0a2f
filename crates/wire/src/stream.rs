//! Bidirectional stream of frames.

use bytes::Bytes;
use h2::{RecvStream, SendStream, client::ResponseFuture};
use toucanquay_model::{Error, ErrorKind};

use crate::{Frame, Receiver, Sender, room::Part};

/// A bidirectional HTTP/2 stream of frames.
///
/// Dropping it resets the stream, which the peer receives as an error.
#[derive(Debug)]
pub struct Stream {
    sender: Sender,
    receiver: Receiver,
}

impl Stream {
    pub(crate) fn from_client(sink: SendStream<Bytes>, response: ResponseFuture) -> Self {
        Self {
            sender: Sender::new(sink),
            receiver: Receiver::from_client(response),
        }
    }

    pub(crate) fn from_server(sink: SendStream<Bytes>, source: RecvStream, part: Part) -> Self {
        Self {
            sender: Sender::new(sink),
            receiver: Receiver::from_server(source, part),
        }
    }

    /// Splits the stream into halves for concurrent sending and receiving.
    #[must_use]
    pub fn split(self) -> (Sender, Receiver) {
        (self.sender, self.receiver)
    }

    /// Sends one frame, waiting for flow control.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::OutcomeUnknown`] if the stream fails; part of the frame may have been sent.
    pub async fn send(&mut self, frame: &Frame) -> Result<(), Error> {
        self.sender.send(frame).await
    }

    /// Sends the last frame with the end-of-stream flag.
    ///
    /// # Errors
    ///
    /// The errors of [`Self::send`].
    pub async fn send_last(&mut self, frame: &Frame) -> Result<(), Error> {
        self.sender.send_last(frame).await
    }

    /// Ends the sending direction of the stream.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::OutcomeUnknown`] if the stream has failed.
    pub fn finish(&mut self) -> Result<(), Error> {
        self.sender.finish()
    }

    /// Receives the next frame, or `None` after the peer's last one.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::OutcomeUnknown`] if the stream fails; [`ErrorKind::Protocol`] if a frame is
    /// invalid or truncated.
    pub async fn recv(&mut self) -> Result<Option<Frame>, Error> {
        self.receiver.recv().await
    }

    /// Waits until the peer has reset the stream or the connection is lost.
    pub async fn closed(&mut self) {
        self.sender.closed().await;
    }
}

pub(crate) fn stream_error(cause: impl std::fmt::Display) -> Error {
    Error::new(ErrorKind::OutcomeUnknown).context(cause)
}
