//! Answers of the store.

use reqwest::StatusCode;
use serde::de::DeserializeOwned;
use tokio::time::Instant;
use toucanquay_model::{Error, ErrorKind};

/// A complete answer that is not a failure of the store.
#[derive(Debug)]
pub(crate) struct Response {
    pub(crate) status: StatusCode,
    pub(crate) body: Vec<u8>,
    /// When the call was sent.
    pub(crate) sent_at: Instant,
}

impl Response {
    /// Parses the body.
    pub(crate) fn parse<T: DeserializeOwned>(&self) -> Result<T, Error> {
        serde_json::from_slice(&self.body).map_err(|cause| {
            Error::new(ErrorKind::Protocol)
                .field("store answer")
                .value(self.status)
                .context(cause)
        })
    }
}
