//! One attempt at a request.

use std::net::SocketAddr;

use bytes::Bytes;
use tokio::time::{Duration, Instant, timeout_at};
use toucanquay_model::{
    Error, ErrorKind, Incarnation, Time,
    request::{self, Verdict},
};
use toucanquay_wire::{Clock, End, Frame, Pool, Stream, Tombstone};

use super::{ClientRequest, Outcome, Target, UpstreamResponse};

/// Timeout for opening a stream to a companion. Hosts respond within milliseconds, so a longer wait
/// only delays the choice of another companion.
const OPEN_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout for a tombstone call.
const TOMBSTONE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Maximum size of a body frame.
const BODY_PART_BYTES: usize = 64 * 1_024;

/// Sends `client_request` with `id` to `target` and waits for the head of the response.
pub async fn attempt(
    pool: &Pool,
    clock: Clock,
    target: &Target,
    client_request: &ClientRequest,
    id: request::Id,
) -> Outcome {
    let deadline = clock.instant(client_request.deadline);
    let open_deadline = deadline.min(Instant::now() + OPEN_TIMEOUT);
    let mut stream = match pool.open(target.address, open_deadline).await {
        Ok(stream) => stream,
        Err(error) => return Outcome::NotRun(error),
    };
    let response_head = async {
        match send_request(&mut stream, client_request, id, target, clock.now()).await {
            // A companion may respond before it has received the whole request and then close the
            // stream, so this error does not rule out a response.
            Ok(()) => {}
            Err(error) if error.kind() == ErrorKind::OutcomeUnknown => {}
            Err(error) => return Err(error),
        }
        receive_head(&mut stream, id).await
    };
    match timeout_at(deadline, response_head).await {
        Ok(Ok(head)) => Outcome::Responded(Box::new(UpstreamResponse::new(head, stream))),
        Ok(Err(error)) => Outcome::from_error(error),
        Err(_elapsed) => Outcome::Unknown(Error::new(ErrorKind::DeadlineWhileRunning)),
    }
}

/// Makes the companion permanently refuse a request that has not started, and returns the state of
/// the request.
///
/// `incarnation` is the incarnation of the companion that the request was sent to. Returns
/// [`Verdict::Unknown`] if the state can't be determined.
pub async fn tombstone(
    pool: &Pool,
    target: &Target,
    id: request::Id,
    incarnation: Incarnation,
) -> Verdict {
    let frame = Frame::Tombstone(Tombstone { id, incarnation });
    // The request's connection may be broken or stalled, so the call needs a new one.
    pool.remove(target.address);
    match call_companion(pool, target.address, &frame).await {
        Ok(Frame::Verdict(verdict)) => verdict,
        Ok(_) | Err(_) => Verdict::Unknown,
    }
}

async fn call_companion(pool: &Pool, address: SocketAddr, frame: &Frame) -> Result<Frame, Error> {
    pool.call(address, frame, Instant::now() + TOMBSTONE_TIMEOUT)
        .await
}

async fn send_request(
    stream: &mut Stream,
    client_request: &ClientRequest,
    id: request::Id,
    target: &Target,
    now: Time,
) -> Result<(), Error> {
    let head = client_request.head(id, target.incarnation, now);
    stream.send(&Frame::Request(head)).await?;
    let mut rest: Bytes = client_request.body.clone();
    while !rest.is_empty() {
        let part = rest.split_to(rest.len().min(BODY_PART_BYTES));
        stream.send(&Frame::Body(part)).await?;
    }
    let length = client_request.body.len() as u64;
    stream.send_last(&Frame::End(End { id, length })).await
}

async fn receive_head(
    stream: &mut Stream,
    id: request::Id,
) -> Result<toucanquay_wire::response::Head, Error> {
    match stream.recv().await? {
        Some(Frame::Response(head)) if head.id == id => Ok(head),
        Some(Frame::Failure(failure)) if failure.id == id => Err(failure.error),
        Some(Frame::Refused(error)) => Err(error),
        Some(Frame::Response(_) | Frame::Failure(_)) => {
            Err(Error::new(ErrorKind::Protocol).context("response to another request"))
        }
        Some(_) => Err(Error::new(ErrorKind::Protocol).context("unexpected frame")),
        None => {
            Err(Error::new(ErrorKind::OutcomeUnknown).context("stream ended before the response"))
        }
    }
}
