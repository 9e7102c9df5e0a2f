//! One h2 stream of frames.

use std::future::poll_fn;

use bytes::{Bytes, BytesMut};
use h2::{RecvStream, SendStream, client::ResponseFuture};
use toucanquay_model::{Error, ErrorKind};

use crate::{Frame, codec};

/// The side that frames come from.
#[derive(Debug)]
enum Source {
    /// A client's stream whose answer has not begun.
    Waiting(ResponseFuture),
    /// The stream's body.
    Open(RecvStream),
    /// Nothing more will come.
    Closed,
}

/// One h2 stream of frames, in both directions.
///
/// Dropping it resets the stream, which the other end sees as an error.
#[derive(Debug)]
pub struct Stream {
    sink: SendStream<Bytes>,
    source: Source,
    buffer: BytesMut,
}

impl Stream {
    pub(crate) fn from_client(sink: SendStream<Bytes>, response: ResponseFuture) -> Self {
        Self {
            sink,
            source: Source::Waiting(response),
            buffer: BytesMut::new(),
        }
    }

    pub(crate) fn from_server(sink: SendStream<Bytes>, source: RecvStream) -> Self {
        Self {
            sink,
            source: Source::Open(source),
            buffer: BytesMut::new(),
        }
    }

    /// Sends one frame, waiting for flow control.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::OutcomeUnknown`] when the stream is broken; part of the frame may have left.
    pub async fn send(&mut self, frame: &Frame) -> Result<(), Error> {
        let mut bytes = codec::encode(frame)?;
        while !bytes.is_empty() {
            self.sink.reserve_capacity(bytes.len());
            let capacity = poll_fn(|context| self.sink.poll_capacity(context))
                .await
                .ok_or_else(|| broken("stream closed"))?
                .map_err(broken)?;
            let part = bytes.split_to(capacity.min(bytes.len()));
            self.sink.send_data(part, false).map_err(broken)?;
        }
        Ok(())
    }

    /// Says that no more frames will be sent.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::OutcomeUnknown`] when the stream is broken.
    pub fn finish(&mut self) -> Result<(), Error> {
        self.sink.send_data(Bytes::new(), true).map_err(broken)
    }

    /// Receives the next frame, or `None` after the other end's last one.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::OutcomeUnknown`] when the stream breaks, [`ErrorKind::Protocol`] when a frame
    /// is invalid or cut off.
    pub async fn recv(&mut self) -> Result<Option<Frame>, Error> {
        loop {
            if let Some(frame) = codec::decode(&mut self.buffer)? {
                return Ok(Some(frame));
            }
            let Some(part) = self.recv_part().await? else {
                if self.buffer.is_empty() {
                    return Ok(None);
                }
                return Err(Error::new(ErrorKind::Protocol).context("frame cut off"));
            };
            self.buffer.extend_from_slice(&part);
        }
    }

    /// Waits until the other end has reset the stream or the connection is gone.
    pub async fn closed(&mut self) {
        let _ = poll_fn(|context| self.sink.poll_reset(context)).await;
    }

    async fn recv_part(&mut self) -> Result<Option<Bytes>, Error> {
        if let Source::Waiting(response) = &mut self.source {
            let response = response.await.map_err(broken)?;
            self.source = Source::Open(response.into_body());
        }
        let Source::Open(source) = &mut self.source else {
            return Ok(None);
        };
        let Some(part) = source.data().await else {
            self.source = Source::Closed;
            return Ok(None);
        };
        let part = part.map_err(broken)?;
        source
            .flow_control()
            .release_capacity(part.len())
            .map_err(broken)?;
        Ok(Some(part))
    }
}

fn broken(cause: impl std::fmt::Display) -> Error {
    Error::new(ErrorKind::OutcomeUnknown).context(cause)
}
