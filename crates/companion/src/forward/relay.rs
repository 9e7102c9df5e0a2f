//! Relays responses to the entry.

use bytes::Bytes;
use reqwest::Response;
use toucanquay_control::ledger;
use toucanquay_model::{Error, ErrorKind, request};
use toucanquay_wire::{Frame, headers, response::Head};

use super::{response_recorder::ResponseRecorder, response_sender::ResponseSender};
use crate::upstream::error_chain;

/// Maximum size of a body chunk in one frame, in bytes, well below the frame size limit.
const CHUNK_BYTES_MAX: usize = 262_144;

/// Summary of a relayed response.
#[derive(Debug)]
pub struct RelayedResponse {
    /// HTTP status code.
    pub status: u16,
    /// Length of the body in bytes.
    pub length: u64,
    /// Copy for replay, if the request has an idempotency key and the response is small enough.
    pub replay_copy: Option<ledger::Response>,
}

/// Relays the upstream's response to the entry, except for the end frame.
///
/// # Errors
///
/// [`ErrorKind::TruncatedAnswer`] when the upstream ends the body early, and the errors of
/// [`ResponseSender::wait`].
pub async fn relay(
    id: request::Id,
    is_keyed: bool,
    mut response: Response,
    response_sender: &mut ResponseSender,
) -> Result<RelayedResponse, Error> {
    let head = Head {
        id,
        status: response.status().as_u16(),
        headers: headers::from_http(response.headers()),
    };
    let mut recorder = if is_keyed {
        ResponseRecorder::start(&head)
    } else {
        ResponseRecorder::default()
    };
    let status = head.status;
    response_sender.send(&Frame::Response(head)).await?;
    let mut length = 0;
    while let Some(bytes) = response_sender
        .wait(response.chunk())
        .await?
        .map_err(|cause| truncation_error(&cause))?
    {
        length += bytes.len() as u64;
        recorder.push(&bytes);
        send_chunks(bytes, response_sender).await?;
    }
    Ok(RelayedResponse {
        status,
        length,
        replay_copy: recorder.finish(),
    })
}

/// Sends a recorded response again.
pub async fn replay(
    id: request::Id,
    response: &ledger::Response,
    mut response_sender: ResponseSender,
) {
    let head = Head {
        id,
        status: response.status,
        headers: response.headers.clone(),
    };
    let body = Bytes::copy_from_slice(&response.body);
    let length = body.len() as u64;
    let sent = async {
        response_sender.send(&Frame::Response(head)).await?;
        send_chunks(body, &mut response_sender).await
    };
    match sent.await {
        Ok(()) => response_sender.finish(length).await,
        Err(error) => response_sender.fail(error).await,
    }
}

async fn send_chunks(mut bytes: Bytes, response_sender: &mut ResponseSender) -> Result<(), Error> {
    while !bytes.is_empty() {
        let chunk = bytes.split_to(bytes.len().min(CHUNK_BYTES_MAX));
        response_sender.send(&Frame::Body(chunk)).await?;
    }
    Ok(())
}

fn truncation_error(cause: &reqwest::Error) -> Error {
    Error::new(ErrorKind::TruncatedAnswer).context(error_chain(cause))
}
