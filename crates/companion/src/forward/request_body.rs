//! Receives the body of a request from an entry and forwards it to the upstream.

use std::io;

use bytes::{Bytes, BytesMut};
use futures_util::stream;
use reqwest::Body;
use tokio::sync::mpsc;
use tokio_util::task::AbortOnDropHandle;
use toucanquay_model::{Error, ErrorKind, request};
use toucanquay_wire::{Frame, Receiver};

/// Number of body bytes buffered before the request is sent to the upstream. A body that is
/// complete by then is validated before anything is sent, so a truncated body or one that mixes
/// frames of two requests is refused as not run.
const BUFFER_BYTES: usize = 65_536;

/// Maximum number of chunks of a longer body that are queued for the upstream.
const QUEUED_CHUNKS_MAX: usize = 4;

/// The buffered start of a request body, and the stream of the rest if it did not fit the buffer.
#[derive(Debug)]
pub struct RequestBody {
    id: request::Id,
    prefix: Bytes,
    remaining: Option<Receiver>,
}

/// Background task that sends the rest of a body to the upstream. Dropping it aborts the upload.
pub type Upload = Option<AbortOnDropHandle<()>>;

impl RequestBody {
    /// Reads the body of the request `id` until it ends or the buffer is full.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Protocol`] when a frame belongs to another request, the length is wrong or the
    /// stream fails. Nothing has been sent to the upstream in that case.
    pub async fn read(id: request::Id, mut receiver: Receiver) -> Result<Self, Error> {
        let mut buffer = BytesMut::new();
        let mut length = 0;
        while buffer.len() < BUFFER_BYTES {
            match next_chunk(&mut receiver, id, &mut length).await? {
                Some(chunk) => buffer.extend_from_slice(&chunk),
                None => return Ok(Self::new(id, buffer.freeze(), None)),
            }
        }
        Ok(Self::new(id, buffer.freeze(), Some(receiver)))
    }

    /// Returns the body for the upstream and the task that uploads the rest of it, if any.
    pub fn into_body(self) -> (Option<Body>, Upload) {
        let Some(receiver) = self.remaining else {
            let body = (!self.prefix.is_empty()).then(|| Body::from(self.prefix));
            return (body, None);
        };
        let (chunks, queued_chunks) = mpsc::channel(QUEUED_CHUNKS_MAX);
        let upload = tokio::spawn(forward_body(self.id, self.prefix, receiver, chunks));
        let body = stream::unfold(queued_chunks, |mut queued_chunks| async move {
            let chunk: Result<Bytes, io::Error> = queued_chunks.recv().await?;
            Some((chunk, queued_chunks))
        });
        let body = Body::wrap_stream(body);
        (Some(body), Some(AbortOnDropHandle::new(upload)))
    }

    const fn new(id: request::Id, prefix: Bytes, remaining: Option<Receiver>) -> Self {
        Self {
            id,
            prefix,
            remaining,
        }
    }
}

async fn forward_body(
    id: request::Id,
    prefix: Bytes,
    mut receiver: Receiver,
    chunks: mpsc::Sender<Result<Bytes, io::Error>>,
) {
    let mut length = prefix.len() as u64;
    let mut chunk = prefix;
    loop {
        // An upstream may respond without reading the body. The rest is then received and
        // discarded, so that the entry is not blocked by flow control.
        let _ = chunks.send(Ok(chunk)).await;
        chunk = match next_chunk(&mut receiver, id, &mut length).await {
            Ok(Some(chunk)) => chunk,
            Ok(None) => return,
            Err(error) => {
                // The error aborts the connection to the upstream, which must not take a truncated
                // body for a complete one.
                let _ = chunks.send(Err(io::Error::other(error))).await;
                return;
            }
        };
    }
}

/// Returns the next chunk of a body, or `None` at its end, and adds the chunk to `length`.
async fn next_chunk(
    receiver: &mut Receiver,
    id: request::Id,
    length: &mut u64,
) -> Result<Option<Bytes>, Error> {
    match receiver.recv().await? {
        Some(Frame::Body(chunk)) => {
            *length += chunk.len() as u64;
            Ok(Some(chunk))
        }
        Some(Frame::End(end)) if end.id != id => Err(protocol_error(format!(
            "end frame of request {} in the body of request {id}",
            end.id
        ))),
        Some(Frame::End(end)) if end.length != *length => Err(protocol_error(format!(
            "received {length} body bytes, but the end frame declares {}",
            end.length
        ))),
        Some(Frame::End(_)) => Ok(None),
        Some(_) => Err(protocol_error(
            "unexpected frame in the request body".to_owned(),
        )),
        None => Err(protocol_error(
            "stream ended before the end of the request body".to_owned(),
        )),
    }
}

fn protocol_error(context: String) -> Error {
    Error::new(ErrorKind::Protocol).context(context)
}
