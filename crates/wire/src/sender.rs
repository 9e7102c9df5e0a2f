//! Sending side of a stream.

use std::future::poll_fn;

use bytes::Bytes;
use h2::SendStream;
use toucanquay_model::Error;

use crate::{Frame, codec, stream::stream_error};

/// Sending side of a [`Stream`](crate::Stream).
///
/// The stream is reset when both sides are dropped before [`Self::finish`].
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
    /// [`ErrorKind::OutcomeUnknown`](toucanquay_model::ErrorKind::OutcomeUnknown) when the stream
    /// is broken; part of the frame may have left.
    pub async fn send(&mut self, frame: &Frame) -> Result<(), Error> {
        self.send_chunks(frame, false).await
    }

    /// Sends the last frame and ends this side of the stream with it.
    ///
    /// The end must not be a message of its own where the other end may answer the frame: it can
    /// close the stream before the end is sent, which would then fail.
    ///
    /// # Errors
    ///
    /// As for [`Self::send`].
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

    /// Says that no more frames will be sent.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::OutcomeUnknown`](toucanquay_model::ErrorKind::OutcomeUnknown) when the stream
    /// is broken.
    pub fn finish(&mut self) -> Result<(), Error> {
        self.sink
            .send_data(Bytes::new(), true)
            .map_err(stream_error)
    }

    /// Waits until the other end has reset the stream or the connection is gone.
    pub async fn closed(&mut self) {
        let _ = poll_fn(|context| self.sink.poll_reset(context)).await;
    }
}
