//! Receiving half of a stream.

use bytes::{Bytes, BytesMut};
use h2::{RecvStream, client::ResponseFuture};
use toucanquay_model::{Error, ErrorKind};

use crate::{Frame, codec, stream::stream_error};

/// State of the incoming direction.
#[derive(Debug)]
enum Source {
    /// A stream opened by this side whose response headers have not arrived.
    AwaitingResponse(ResponseFuture),
    /// An open stream whose body is being received.
    Open(RecvStream),
    /// The peer has ended the stream.
    Closed,
}

/// Receiving half of a [`Stream`](crate::Stream).
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

    /// Receives the next frame, or `None` after the peer's last one.
    ///
    /// This method is cancel safe: no frame is lost if the future is dropped before it completes.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::OutcomeUnknown`] if the stream fails; [`ErrorKind::Protocol`] if a frame is
    /// invalid or truncated.
    pub async fn recv(&mut self) -> Result<Option<Frame>, Error> {
        loop {
            if let Some(frame) = codec::decode(&mut self.buffer)? {
                return Ok(Some(frame));
            }
            let Some(chunk) = self.recv_chunk().await? else {
                if self.buffer.is_empty() {
                    return Ok(None);
                }
                return Err(Error::new(ErrorKind::Protocol).context("truncated frame"));
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
