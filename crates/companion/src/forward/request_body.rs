//! The body of a request.

use std::io;

use bytes::{Bytes, BytesMut};
use futures_util::stream;
use reqwest::Body;
use tokio::sync::mpsc;
use tokio_util::task::AbortOnDropHandle;
use toucanquay_model::{Error, ErrorKind, request};
use toucanquay_wire::{Frame, Receiver};

/// Bytes of a body that are read before the request is sent to the upstream. A body that is
/// complete by then is checked whole, so that a cut or crossed one is refused as not run.
const BUFFER_BYTES: usize = 65_536;

/// Parts of a longer body that wait for the upstream.
const QUEUED_CHUNKS_MAX: usize = 4;

/// The beginning of a request's body, and the rest where there is one.
#[derive(Debug)]
pub struct RequestBody {
    id: request::Id,
    prefix: Bytes,
    remaining: Option<Receiver>,
}

/// Sends the rest of a body to the upstream while it exists.
pub type Upload = Option<AbortOnDropHandle<()>>;

impl RequestBody {
    /// Reads the body of the request `id` up to its end or the size of the buffer.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Protocol`] when a frame belongs to another request, the length is wrong or the
    /// stream breaks. Nothing has been sent to the upstream then.
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

    /// Returns the body for the upstream, and the task that feeds it.
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
        // An upstream may answer without reading the body. Its rest is then received and dropped,
        // so that the entry is not held up.
        let _ = chunks.send(Ok(chunk)).await;
        chunk = match next_chunk(&mut receiver, id, &mut length).await {
            Ok(Some(chunk)) => chunk,
            Ok(None) => return,
            Err(error) => {
                // The error breaks the upstream's connection off, so that it can't take a part of
                // the body for the whole.
                let _ = chunks.send(Err(io::Error::other(error))).await;
                return;
            }
        };
    }
}

/// Returns the next part of a body, or `None` at its end, and adds to its length.
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
            "end of request {} instead of {id}",
            end.id
        ))),
        Some(Frame::End(end)) if end.length != *length => Err(protocol_error(format!(
            "body of {length} bytes instead of {}",
            end.length
        ))),
        Some(Frame::End(_)) => Ok(None),
        Some(_) => Err(protocol_error("unexpected frame in a body".to_owned())),
        None => Err(protocol_error("stream ended in a body".to_owned())),
    }
}

fn protocol_error(context: String) -> Error {
    Error::new(ErrorKind::Protocol).context(context)
}
