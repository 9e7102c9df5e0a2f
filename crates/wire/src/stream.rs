//! One h2 stream of frames.

use bytes::Bytes;
use h2::{RecvStream, SendStream, client::ResponseFuture};
use toucanquay_model::{Error, ErrorKind};

use crate::{Frame, Receiver, Sender};

/// One h2 stream of frames, in both directions.
///
/// Dropping it resets the stream, which the other end sees as an error.
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

    pub(crate) fn from_server(sink: SendStream<Bytes>, source: RecvStream) -> Self {
        Self {
            sender: Sender::new(sink),
            receiver: Receiver::from_server(source),
        }
    }

    /// Splits the stream, so that it can be sent to and received from at the same time.
    #[must_use]
    pub fn split(self) -> (Sender, Receiver) {
        (self.sender, self.receiver)
    }

    /// Sends one frame, waiting for flow control.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::OutcomeUnknown`] when the stream is broken; part of the frame may have left.
    pub async fn send(&mut self, frame: &Frame) -> Result<(), Error> {
        self.sender.send(frame).await
    }

    /// Sends the last frame and ends this side of the stream with it.
    ///
    /// # Errors
    ///
    /// As for [`Self::send`].
    pub async fn send_last(&mut self, frame: &Frame) -> Result<(), Error> {
        self.sender.send_last(frame).await
    }

    /// Says that no more frames will be sent.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::OutcomeUnknown`] when the stream is broken.
    pub fn finish(&mut self) -> Result<(), Error> {
        self.sender.finish()
    }

    /// Receives the next frame, or `None` after the other end's last one.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::OutcomeUnknown`] when the stream breaks, [`ErrorKind::Protocol`] when a frame
    /// is invalid or cut off.
    pub async fn recv(&mut self) -> Result<Option<Frame>, Error> {
        self.receiver.recv().await
    }

    /// Waits until the other end has reset the stream or the connection is gone.
    pub async fn closed(&mut self) {
        self.sender.closed().await;
    }
}

pub(crate) fn stream_error(cause: impl std::fmt::Display) -> Error {
    Error::new(ErrorKind::OutcomeUnknown).context(cause)
}
