//! JSON body of HTTP errors.

use salvo::{
    Response,
    http::{HeaderValue, StatusCode, header},
    writing::Json,
};
use serde::Serialize;
use toucanquay_model::{Error, ErrorKind, error::Execution, request};

/// JSON body of an HTTP error response.
#[derive(Debug, Serialize)]
pub struct ErrorBody {
    /// Error kind, one of a closed set.
    kind: ErrorKind,
    /// Description of the error.
    message: String,
    /// Name of the invalid field.
    #[serde(skip_serializing_if = "Option::is_none")]
    field: Option<String>,
    /// Actual value of the field.
    #[serde(skip_serializing_if = "Option::is_none")]
    value: Option<String>,
    /// Expected value of the field.
    #[serde(skip_serializing_if = "Option::is_none")]
    expected: Option<String>,
    /// Whether the request ran.
    run: Execution,
    /// Whether the same request may succeed later.
    retryable: bool,
    /// Suggested action.
    hint: &'static str,
    /// Request id, which also appears in the logs.
    #[serde(skip_serializing_if = "Option::is_none")]
    request: Option<String>,
    /// Time to wait before a retry, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

impl ErrorBody {
    /// Returns the body for `error`.
    #[must_use]
    pub fn new(error: &Error) -> Self {
        let response = error.kind().response();
        Self {
            kind: error.kind(),
            message: error.to_string(),
            field: error.invalid_field().map(str::to_owned),
            value: error.actual_value().map(str::to_owned),
            expected: error.expected_value().map(str::to_owned),
            run: response.execution,
            retryable: response.is_retryable,
            hint: response.hint,
            request: None,
            retry_after_ms: None,
        }
    }

    /// Sets the request id.
    #[must_use]
    pub fn request(mut self, id: request::Id) -> Self {
        self.request = Some(id.to_string());
        self
    }

    /// Sets the time to wait before a retry, in milliseconds.
    #[must_use]
    pub const fn retry_after_ms(mut self, millis: Option<u64>) -> Self {
        self.retry_after_ms = millis;
        self
    }

    /// Writes the status, headers and body to `response`.
    pub fn write(self, response: &mut Response) {
        let status = StatusCode::from_u16(self.kind.response().status)
            .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        if self.retryable {
            // The header is in whole seconds; zero would invite an immediate retry.
            let seconds = self.retry_after_ms.unwrap_or(1_000).div_ceil(1_000).max(1);
            let value = HeaderValue::from(seconds);
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
        response.status_code(status);
        response.render(Json(self));
    }
}
