//! Client of an entry's HTTP listeners.

use reqwest::{Method, RequestBuilder, Response};
use serde::{Deserialize, de::DeserializeOwned};
use toucanquay_model::{Error, ErrorKind};

/// Body of an error response.
#[derive(Debug, Deserialize)]
struct ErrorBody {
    kind: ErrorKind,
    message: String,
    #[serde(default)]
    field: Option<String>,
    #[serde(default)]
    value: Option<String>,
    #[serde(default)]
    expected: Option<String>,
}

/// Client of one HTTP listener of an entry.
#[derive(Debug, Clone)]
pub struct EntryClient {
    base_url: String,
    client: reqwest::Client,
}

impl EntryClient {
    /// Returns a client of the listener at `base_url`, for example `http://127.0.0.1:7701`.
    pub fn new(base_url: impl Into<String>) -> Self {
        let base_url: String = base_url.into();
        Self {
            base_url: base_url.trim_end_matches('/').to_owned(),
            client: reqwest::Client::new(),
        }
    }

    /// Starts building a request to `path`.
    pub fn request(&self, method: Method, path: &str) -> RequestBuilder {
        self.client
            .request(method, format!("{}{path}", self.base_url))
    }

    /// Sends a request and decodes the JSON body of the response.
    ///
    /// # Errors
    ///
    /// The errors of [`Self::send`], or [`ErrorKind::TruncatedAnswer`] when the body can't be read
    /// or decoded.
    pub async fn fetch_json<T: DeserializeOwned>(
        &self,
        request: RequestBuilder,
    ) -> Result<T, Error> {
        let response = self.send(request).await?;
        response
            .json()
            .await
            .map_err(|cause| Error::new(ErrorKind::TruncatedAnswer).context(cause))
    }

    /// Sends a request and returns the response if its status is a success.
    ///
    /// # Errors
    ///
    /// The error that the entry returned, [`ErrorKind::PeerUnavailable`] when the entry can't be
    /// reached, or [`ErrorKind::Protocol`] when an error response has no valid JSON body.
    pub async fn send(&self, request: RequestBuilder) -> Result<Response, Error> {
        let response = request.send().await.map_err(|cause| {
            Error::new(ErrorKind::PeerUnavailable)
                .field("address")
                .value(&self.base_url)
                .expected("the listener of a running entry")
                .context(cause)
        })?;
        if response.status().is_success() {
            return Ok(response);
        }
        let status = response.status();
        let body: ErrorBody = response.json().await.map_err(|_cause| {
            Error::new(ErrorKind::Protocol)
                .context(format!("status {status} without a JSON error body"))
        })?;
        Err(body.into())
    }
}

impl From<ErrorBody> for Error {
    fn from(body: ErrorBody) -> Self {
        let mut error = Self::new(body.kind);
        let has_details = body.field.is_some() || body.value.is_some();
        if let Some(field) = body.field {
            error = error.field(field);
        }
        if let Some(value) = body.value {
            error = error.value(value);
        }
        if let Some(expected) = body.expected {
            error = error.expected(expected);
        }
        if has_details {
            error
        } else {
            error.context(body.message)
        }
    }
}
