//! Responses of the store.

use std::borrow::Cow;

use reqwest::StatusCode;
use serde::de::DeserializeOwned;
use tokio::time::Instant;
use toucanquay_model::{Error, ErrorKind};

/// A complete response whose status does not signal a failure of the call.
#[derive(Debug)]
pub(crate) struct Response {
    pub(crate) status: StatusCode,
    pub(crate) body: Vec<u8>,
    /// When the request was sent.
    pub(crate) sent_at: Instant,
}

impl Response {
    /// Parses the JSON body.
    pub(crate) fn parse<T: DeserializeOwned>(&self) -> Result<T, Error> {
        serde_json::from_str(&text(&self.body)).map_err(|cause| {
            Error::new(ErrorKind::Protocol)
                .field("store response")
                .value(self.status)
                .context(cause)
        })
    }
}

/// JSON text that no string can be read from, in place of bytes that aren't UTF-8.
const UNREADABLE: &str = "\\ud800";

/// Returns the body as text. Bytes that aren't UTF-8 make only the strings unreadable that have
/// them, while the whole body could not be parsed otherwise.
fn text(body: &[u8]) -> Cow<'_, str> {
    if let Ok(text) = str::from_utf8(body) {
        return Cow::Borrowed(text);
    }
    let mut text = String::with_capacity(body.len());
    for chunk in body.utf8_chunks() {
        text.push_str(chunk.valid());
        if !chunk.invalid().is_empty() {
            text.push_str(UNREADABLE);
        }
    }
    Cow::Owned(text)
}
