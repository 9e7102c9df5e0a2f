//! The caller of a request, and what it sends as its body.

use std::{pin::pin, sync::Arc, task::Poll};

use bytes::Bytes;
use futures_util::poll;
use http_body_util::BodyExt;
use salvo::{
    Request,
    http::{ReqBody, header},
};
use tokio::time::{Instant, timeout_at};
use toucanquay_model::{Error, ErrorKind};

use super::{Kind, callers::ConnectionKey, gate::Gate};

/// Minimum capacity for a body that comes in parts, in bytes.
const CAPACITY_BYTES_MIN: usize = 4_096;

/// Connection of a request that is being handled.
#[derive(Debug, Clone)]
pub struct Caller {
    request: Arc<OpenRequest>,
}

/// A request whose handling hasn't ended.
#[derive(Debug)]
struct OpenRequest {
    gate: Gate,
    key: ConnectionKey,
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.gate.end(self.key);
    }
}

impl Caller {
    pub(super) fn new(gate: Gate, key: ConnectionKey) -> Self {
        gate.begin(key);
        Self {
            request: Arc::new(OpenRequest { gate, key }),
        }
    }

    /// Reads the body of a request, of at most `max` bytes, within the limits of the listener.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::BodyTooLarge`] if it is larger, without reading it if its head says so;
    /// [`ErrorKind::BodyTimeout`] if it isn't whole in time; [`ErrorKind::Overloaded`] if there is
    /// no room for it; [`ErrorKind::MalformedBody`] if it can't be read.
    pub async fn read_body(request: &mut Request, max: usize) -> Result<Bytes, Error> {
        let caller = request.extensions().get::<Self>().cloned();
        let announced = announced_length(request);
        let body = request.take_body();
        match caller {
            Some(caller) => caller.request.read(body, announced, max).await,
            None => unlimited(body, max).await,
        }
    }
}

impl OpenRequest {
    async fn read(
        &self,
        body: ReqBody,
        announced: Option<usize>,
        max: usize,
    ) -> Result<Bytes, Error> {
        let limits = self.gate.limits();
        let max = max.min(limits.body_bytes);
        if announced.is_some_and(|announced| announced > max) {
            return Err(self.refuse(Kind::BodyTooLarge, max));
        }
        let deadline = Instant::now() + limits.body_timeout;
        let mut collected = Collected::default();
        let mut body = pin!(body);
        loop {
            let mut frame = pin!(body.frame());
            let received = match poll!(frame.as_mut()) {
                Poll::Ready(received) => received,
                Poll::Pending => {
                    self.gate.await_body(self.key);
                    self.hold(collected.growth(0), max)?;
                    collected.append(Bytes::new());
                    let received = timeout_at(deadline, frame).await;
                    received.map_err(|_| self.refuse(Kind::BodyTimeout, max))?
                }
            };
            let Some(frame) = received else {
                break;
            };
            let frame = frame.map_err(malformed)?;
            let Ok(part) = frame.into_data() else {
                continue;
            };
            if collected.len() + part.len() > max {
                return Err(self.refuse(Kind::BodyTooLarge, max));
            }
            self.hold(collected.growth(part.len()), max)?;
            collected.append(part);
        }
        self.gate.begin(self.key);
        Ok(collected.into_bytes())
    }

    fn hold(&self, bytes: usize, max: usize) -> Result<(), Error> {
        if bytes == 0 || self.gate.hold(self.key, bytes) {
            return Ok(());
        }
        Err(self.refuse(Kind::BodyRoom, max))
    }

    fn refuse(&self, kind: Kind, max: usize) -> Error {
        self.gate.refuse(kind);
        match kind {
            Kind::BodyTooLarge => too_large(max),
            Kind::BodyTimeout => {
                Error::new(ErrorKind::BodyTimeout)
                    .field("body")
                    .expected(format!(
                        "{} ms",
                        self.gate.limits().body_timeout.as_millis()
                    ))
            }
            _ => Error::new(ErrorKind::Overloaded).context("no room for the body"),
        }
    }
}

/// Parts of a body. A body that comes in one part is kept as it is; others are copied, since each
/// part would keep the whole buffer that it was received in.
#[derive(Debug, Default)]
struct Collected {
    first: Bytes,
    copied: Vec<u8>,
}

impl Collected {
    fn len(&self) -> usize {
        self.first.len() + self.copied.len()
    }

    /// Returns the memory that another part takes beyond what is taken.
    fn growth(&self, part: usize) -> usize {
        let length = self.len() + part;
        if self.len() == 0 || length <= self.copied.capacity() {
            return 0;
        }
        length.next_power_of_two().max(CAPACITY_BYTES_MIN) - self.copied.capacity()
    }

    fn append(&mut self, part: Bytes) {
        if self.len() == 0 {
            self.first = part;
            return;
        }
        let length = self.len() + part.len();
        if length > self.copied.capacity() {
            let capacity = length.next_power_of_two().max(CAPACITY_BYTES_MIN);
            self.copied.reserve_exact(capacity - self.copied.len());
        }
        self.copied
            .extend_from_slice(&std::mem::take(&mut self.first));
        self.copied.extend_from_slice(&part);
    }

    fn into_bytes(self) -> Bytes {
        if self.copied.is_empty() {
            self.first
        } else {
            self.copied.into()
        }
    }
}

/// Reads a body outside a listener with limits.
async fn unlimited(body: ReqBody, max: usize) -> Result<Bytes, Error> {
    let body = http_body_util::Limited::new(body, max).collect().await;
    let body = body.map_err(|cause| {
        if cause.is::<http_body_util::LengthLimitError>() {
            too_large(max)
        } else {
            malformed(cause)
        }
    })?;
    Ok(body.to_bytes())
}

fn announced_length(request: &Request) -> Option<usize> {
    let value = request.headers().get(header::CONTENT_LENGTH)?;
    value.to_str().ok()?.parse().ok()
}

fn too_large(max: usize) -> Error {
    Error::new(ErrorKind::BodyTooLarge)
        .field("body")
        .expected(format!("at most {max} bytes"))
}

fn malformed(cause: impl std::fmt::Display) -> Error {
    Error::new(ErrorKind::MalformedBody)
        .field("body")
        .expected("a complete HTTP body")
        .context(cause)
}
