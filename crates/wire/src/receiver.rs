//! Receiving half of a stream.

use bytes::{Bytes, BytesMut};
use h2::{RecvStream, client::ResponseFuture};
use tokio::time::timeout;
use toucanquay_model::{Error, ErrorKind};

use crate::{Frame, codec, room::Part, stream::stream_error};

/// Maximum size of a buffer that is kept after a frame, in bytes.
const KEPT_BYTES_MAX: usize = 65_536;

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
    /// What the buffer takes of the listener's room; absent on a stream that this side opened.
    part: Option<Part>,
    /// Whether a frame was received.
    has_begun: bool,
}

impl Receiver {
    pub(crate) fn from_client(response: ResponseFuture) -> Self {
        Self {
            source: Source::AwaitingResponse(response),
            buffer: BytesMut::new(),
            part: None,
            has_begun: false,
        }
    }

    pub(crate) fn from_server(source: RecvStream, part: Part) -> Self {
        Self {
            source: Source::Open(source),
            buffer: BytesMut::new(),
            part: Some(part),
            has_begun: false,
        }
    }

    /// Receives the next frame, or `None` after the peer's last one.
    ///
    /// This method is cancel safe: no frame is lost if the future is dropped before it completes.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::OutcomeUnknown`] if the stream fails; [`ErrorKind::Protocol`] if a frame is
    /// invalid or truncated, or doesn't go on in time; [`ErrorKind::Overloaded`] if there is no room
    /// for it.
    pub async fn recv(&mut self) -> Result<Option<Frame>, Error> {
        loop {
            if let Some(frame) = codec::decode(&mut self.buffer)? {
                self.has_begun = true;
                return Ok(Some(frame));
            }
            self.take_room()?;
            let Some(chunk) = self.recv_part().await? else {
                if self.buffer.is_empty() {
                    return Ok(None);
                }
                return Err(Error::new(ErrorKind::Protocol).context("truncated frame"));
            };
            self.buffer.extend_from_slice(&chunk);
        }
    }

    /// Takes room for the frame that isn't whole.
    fn take_room(&mut self) -> Result<(), Error> {
        if self.buffer.is_empty() && self.buffer.capacity() > KEPT_BYTES_MAX {
            // Frees the memory of a large frame.
            self.buffer = BytesMut::new();
        }
        let has_room = match &mut self.part {
            Some(part) => part.resize(self.buffer.capacity()),
            None => true,
        };
        if has_room {
            return Ok(());
        }
        if let Some(part) = &self.part {
            part.refuse("frame_room");
        }
        Err(Error::new(ErrorKind::Overloaded).context("no room for the frame"))
    }

    /// Receives the next part of a stream. A frame that another process has begun must go on, and
    /// the first one must come, in time.
    async fn recv_part(&mut self) -> Result<Option<Bytes>, Error> {
        let is_waiting_for_peer = !self.has_begun || !self.buffer.is_empty();
        let limit = self.part.as_ref().filter(|_| is_waiting_for_peer);
        let Some(limit) = limit.map(Part::timeout) else {
            return self.recv_chunk().await;
        };
        if let Ok(chunk) = timeout(limit, self.recv_chunk()).await {
            return chunk;
        }
        if let Some(part) = &self.part {
            part.refuse("frame_timeout");
        }
        Err(Error::new(ErrorKind::Protocol).context("unfinished frame"))
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
