//! Responses of the store.

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
        serde_json::from_slice(&self.body).map_err(|cause| {
            Error::new(ErrorKind::Protocol)
                .field("store response")
                .value(self.status)
                .context(cause)
        })
    }
}
