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
const PARTS_MAX: usize = 4;

/// The beginning of a request's body, and the rest where there is one.
#[derive(Debug)]
pub struct Intake {
    id: request::Id,
    first: Bytes,
    rest: Option<Receiver>,
}

/// Sends the rest of a body to the upstream while it exists.
pub type Upload = Option<AbortOnDropHandle<()>>;

impl Intake {
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
            match next(&mut receiver, id, &mut length).await? {
                Some(part) => buffer.extend_from_slice(&part),
                None => return Ok(Self::new(id, buffer.freeze(), None)),
            }
        }
        Ok(Self::new(id, buffer.freeze(), Some(receiver)))
    }

    /// Returns the body for the upstream, and the task that feeds it.
    pub fn into_body(self) -> (Option<Body>, Upload) {
        let Some(receiver) = self.rest else {
            let body = (!self.first.is_empty()).then(|| Body::from(self.first));
            return (body, None);
        };
        let (parts, queue) = mpsc::channel(PARTS_MAX);
        let upload = tokio::spawn(feed(self.id, self.first, receiver, parts));
        let body = stream::unfold(queue, |mut queue| async move {
            let part: Result<Bytes, io::Error> = queue.recv().await?;
            Some((part, queue))
        });
        let body = Body::wrap_stream(body);
        (Some(body), Some(AbortOnDropHandle::new(upload)))
    }

    const fn new(id: request::Id, first: Bytes, rest: Option<Receiver>) -> Self {
        Self { id, first, rest }
    }
}

async fn feed(
    id: request::Id,
    first: Bytes,
    mut receiver: Receiver,
    parts: mpsc::Sender<Result<Bytes, io::Error>>,
) {
    let mut length = first.len() as u64;
    let mut part = first;
    loop {
        // An upstream may answer without reading the body. Its rest is then received and dropped,
        // so that the entry is not held up.
        let _ = parts.send(Ok(part)).await;
        part = match next(&mut receiver, id, &mut length).await {
            Ok(Some(part)) => part,
            Ok(None) => return,
            Err(error) => {
                // The error breaks the upstream's connection off, so that it can't take a part of
                // the body for the whole.
                let _ = parts.send(Err(io::Error::other(error))).await;
                return;
            }
        };
    }
}

/// Returns the next part of a body, or `None` at its end, and adds to its length.
async fn next(
    receiver: &mut Receiver,
    id: request::Id,
    length: &mut u64,
) -> Result<Option<Bytes>, Error> {
    match receiver.recv().await? {
        Some(Frame::Body(part)) => {
            *length += part.len() as u64;
            Ok(Some(part))
        }
        Some(Frame::End(end)) if end.id != id => Err(protocol(format!(
            "end of request {} instead of {id}",
            end.id
        ))),
        Some(Frame::End(end)) if end.length != *length => Err(protocol(format!(
            "body of {length} bytes instead of {}",
            end.length
        ))),
        Some(Frame::End(_)) => Ok(None),
        Some(_) => Err(protocol("unexpected frame in a body".to_owned())),
        None => Err(protocol("stream ended in a body".to_owned())),
    }
}

fn protocol(context: String) -> Error {
    Error::new(ErrorKind::Protocol).context(context)
}
