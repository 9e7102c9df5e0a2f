//! From the upstream back to the entry.

use bytes::Bytes;
use reqwest::Response;
use toucanquay_control::ledger;
use toucanquay_model::{Error, ErrorKind, request};
use toucanquay_wire::{Frame, headers, response::Head};

use super::{outlet::Outlet, record::Record};
use crate::upstream::describe;

/// Largest part of a body in one frame, in bytes, well below the limit on frames.
const PART_BYTES_MAX: usize = 262_144;

/// What was relayed.
#[derive(Debug)]
pub struct Relayed {
    /// HTTP status code.
    pub status: u16,
    /// Length of the body, in bytes.
    pub length: u64,
    /// The copy for replay.
    pub copy: Option<ledger::Response>,
}

/// Passes the upstream's response on to the entry, except for its end.
///
/// # Errors
///
/// [`ErrorKind::TruncatedAnswer`] when the upstream cuts the body off, and those of
/// [`Outlet::wait`].
pub async fn relay(
    id: request::Id,
    is_keyed: bool,
    mut response: Response,
    outlet: &mut Outlet,
) -> Result<Relayed, Error> {
    let head = Head {
        id,
        status: response.status().as_u16(),
        headers: headers::from_http(response.headers()),
    };
    let mut record = if is_keyed {
        Record::begin(&head)
    } else {
        Record::default()
    };
    let status = head.status;
    outlet.send(&Frame::Response(head)).await?;
    let mut length = 0;
    while let Some(part) = outlet
        .wait(response.chunk())
        .await?
        .map_err(|cause| truncated(&cause))?
    {
        length += part.len() as u64;
        record.add(&part);
        send_part(part, outlet).await?;
    }
    Ok(Relayed {
        status,
        length,
        copy: record.finish(),
    })
}

/// Sends a kept response once more.
pub async fn replay(id: request::Id, response: &ledger::Response, mut outlet: Outlet) {
    let head = Head {
        id,
        status: response.status,
        headers: response.headers.clone(),
    };
    let body = Bytes::copy_from_slice(&response.body);
    let length = body.len() as u64;
    let sent = async {
        outlet.send(&Frame::Response(head)).await?;
        send_part(body, &mut outlet).await
    };
    match sent.await {
        Ok(()) => outlet.end(length).await,
        Err(error) => outlet.fail(error).await,
    }
}

async fn send_part(mut part: Bytes, outlet: &mut Outlet) -> Result<(), Error> {
    while !part.is_empty() {
        let piece = part.split_to(part.len().min(PART_BYTES_MAX));
        outlet.send(&Frame::Body(piece)).await?;
    }
    Ok(())
}

fn truncated(cause: &reqwest::Error) -> Error {
    Error::new(ErrorKind::TruncatedAnswer).context(describe(cause))
}
