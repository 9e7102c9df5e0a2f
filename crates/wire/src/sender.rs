//! Sending half of a stream.

use std::future::poll_fn;

use bytes::Bytes;
use h2::SendStream;
use toucanquay_model::Error;

use crate::{Frame, codec, stream::stream_error};

/// Sending half of a [`Stream`](crate::Stream).
///
/// The stream is reset if both halves are dropped before [`Self::finish`].
#[derive(Debug)]
pub struct Sender {
    sink: SendStream<Bytes>,
}

impl Sender {
    pub(crate) const fn new(sink: SendStream<Bytes>) -> Self {
        Self { sink }
    }

    /// Sends one frame, waiting for flow control.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::OutcomeUnknown`](toucanquay_model::ErrorKind::OutcomeUnknown) if the stream
    /// fails; part of the frame may have been sent.
    pub async fn send(&mut self, frame: &Frame) -> Result<(), Error> {
        self.send_chunks(frame, false).await
    }

    /// Sends the last frame with the end-of-stream flag.
    ///
    /// Use this instead of [`Self::finish`] if the peer may respond to the frame: the peer can then
    /// close the stream before a separate end of stream is sent, and sending it would fail.
    ///
    /// # Errors
    ///
    /// The errors of [`Self::send`].
    pub async fn send_last(&mut self, frame: &Frame) -> Result<(), Error> {
        self.send_chunks(frame, true).await
    }

    async fn send_chunks(&mut self, frame: &Frame, is_last: bool) -> Result<(), Error> {
        let mut bytes = codec::encode(frame)?;
        while !bytes.is_empty() {
            self.sink.reserve_capacity(bytes.len());
            let capacity = poll_fn(|context| self.sink.poll_capacity(context))
                .await
                .ok_or_else(|| stream_error("stream closed"))?
                .map_err(stream_error)?;
            let chunk = bytes.split_to(capacity.min(bytes.len()));
            let is_end = is_last && bytes.is_empty();
            self.sink.send_data(chunk, is_end).map_err(stream_error)?;
        }
        Ok(())
    }

    /// Ends the sending direction of the stream.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::OutcomeUnknown`](toucanquay_model::ErrorKind::OutcomeUnknown) if the stream
    /// has failed.
    pub fn finish(&mut self) -> Result<(), Error> {
        self.sink
            .send_data(Bytes::new(), true)
            .map_err(stream_error)
    }

    /// Waits until the peer has reset the stream or the connection is lost.
    pub async fn closed(&mut self) {
        let _ = poll_fn(|context| self.sink.poll_reset(context)).await;
    }
}
