//! Calls to an entry's HTTP listeners.

use reqwest::{Method, RequestBuilder, Response};
use serde::{Deserialize, de::DeserializeOwned};
use toucanquay_model::{Error, ErrorKind};

/// What an entry says of a refused call.
#[derive(Debug, Deserialize)]
struct Refusal {
    kind: ErrorKind,
    message: String,
    #[serde(default)]
    field: Option<String>,
    #[serde(default)]
    value: Option<String>,
    #[serde(default)]
    expected: Option<String>,
}

/// Calls to one HTTP listener of an entry.
#[derive(Debug, Clone)]
pub struct Api {
    base: String,
    client: reqwest::Client,
}

impl Api {
    /// Returns calls to the listener at `base`, for example `http://127.0.0.1:7701`.
    pub fn new(base: impl Into<String>) -> Self {
        let base: String = base.into();
        Self {
            base: base.trim_end_matches('/').to_owned(),
            client: reqwest::Client::new(),
        }
    }

    /// Begins a call.
    pub fn call(&self, method: Method, path: &str) -> RequestBuilder {
        self.client.request(method, format!("{}{path}", self.base))
    }

    /// Sends a call and reads the JSON of its answer.
    ///
    /// # Errors
    ///
    /// The entry's refusal, or [`ErrorKind::PeerUnavailable`] when it can't be reached.
    pub async fn json<T: DeserializeOwned>(&self, call: RequestBuilder) -> Result<T, Error> {
        let response = self.send(call).await?;
        response
            .json()
            .await
            .map_err(|cause| Error::new(ErrorKind::TruncatedAnswer).context(cause))
    }

    /// Sends a call and returns its answer.
    ///
    /// # Errors
    ///
    /// The entry's refusal, or [`ErrorKind::PeerUnavailable`] when it can't be reached.
    pub async fn send(&self, call: RequestBuilder) -> Result<Response, Error> {
        let response = call.send().await.map_err(|cause| {
            Error::new(ErrorKind::PeerUnavailable)
                .field("address")
                .value(&self.base)
                .expected("the listener of a running entry")
                .context(cause)
        })?;
        if response.status().is_success() {
            return Ok(response);
        }
        let status = response.status();
        let refusal: Refusal = response.json().await.map_err(|_cause| {
            Error::new(ErrorKind::Protocol)
                .context(format!("status {status} without a refusal in JSON"))
        })?;
        Err(refusal.into())
    }
}

impl From<Refusal> for Error {
    fn from(refusal: Refusal) -> Self {
        let mut error = Self::new(refusal.kind);
        let has_details = refusal.field.is_some() || refusal.value.is_some();
        if let Some(field) = refusal.field {
            error = error.field(field);
        }
        if let Some(value) = refusal.value {
            error = error.value(value);
        }
        if let Some(expected) = refusal.expected {
            error = error.expected(expected);
        }
        if has_details {
            error
        } else {
            error.context(refusal.message)
        }
    }
}
