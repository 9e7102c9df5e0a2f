//! Receiving side of a stream.

use bytes::{Bytes, BytesMut};
use h2::{RecvStream, client::ResponseFuture};
use toucanquay_model::{Error, ErrorKind};

use crate::{Frame, codec, stream::stream_error};

/// The side that frames come from.
#[derive(Debug)]
enum Source {
    /// A client's stream whose answer has not begun.
    AwaitingResponse(ResponseFuture),
    /// The stream's body.
    Open(RecvStream),
    /// Nothing more will come.
    Closed,
}

/// Receiving side of a [`Stream`](crate::Stream).
#[derive(Debug)]
pub struct Receiver {
    source: Source,
    buffer: BytesMut,
}

impl Receiver {
    pub(crate) fn from_client(response: ResponseFuture) -> Self {
        Self {
            source: Source::AwaitingResponse(response),
            buffer: BytesMut::new(),
        }
    }

    pub(crate) fn from_server(source: RecvStream) -> Self {
        Self {
            source: Source::Open(source),
            buffer: BytesMut::new(),
        }
    }

    /// Receives the next frame, or `None` after the other end's last one. No frame is lost when
    /// the call is dropped before it returns.
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
            let Some(chunk) = self.recv_chunk().await? else {
                if self.buffer.is_empty() {
                    return Ok(None);
                }
                return Err(Error::new(ErrorKind::Protocol).context("frame cut off"));
            };
            self.buffer.extend_from_slice(&chunk);
        }
    }

    async fn recv_chunk(&mut self) -> Result<Option<Bytes>, Error> {
        if let Source::AwaitingResponse(response) = &mut self.source {
            let response = response.await.map_err(stream_error)?;
            self.source = Source::Open(response.into_body());
        }
        let Source::Open(source) = &mut self.source else {
            return Ok(None);
        };
        let Some(chunk) = source.data().await else {
            self.source = Source::Closed;
            return Ok(None);
        };
        let chunk = chunk.map_err(stream_error)?;
        source
            .flow_control()
            .release_capacity(chunk.len())
            .map_err(stream_error)?;
        Ok(Some(chunk))
    }
}
