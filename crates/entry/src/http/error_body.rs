//! The JSON body of an HTTP error.

use salvo::{
    Response,
    http::{HeaderValue, StatusCode, header},
    writing::Json,
};
use serde::Serialize;
use toucanquay_model::{Error, ErrorKind, error::Execution, request};

/// What a caller reads when a request is refused or fails.
#[derive(Debug, Serialize)]
pub struct ErrorBody {
    /// The kind, out of a closed list.
    kind: ErrorKind,
    /// The error in words.
    message: String,
    /// The field that is wrong.
    #[serde(skip_serializing_if = "Option::is_none")]
    field: Option<String>,
    /// The value that was found.
    #[serde(skip_serializing_if = "Option::is_none")]
    value: Option<String>,
    /// What was expected in its place.
    #[serde(skip_serializing_if = "Option::is_none")]
    expected: Option<String>,
    /// Whether the request ran.
    run: Execution,
    /// Whether the same request may succeed later.
    retryable: bool,
    /// What the caller can do.
    hint: &'static str,
    /// The request, for the logs.
    #[serde(skip_serializing_if = "Option::is_none")]
    request: Option<String>,
    /// When to retry, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

impl ErrorBody {
    /// Returns the refusal for `error`.
    #[must_use]
    pub fn new(error: &Error) -> Self {
        let answer = error.kind().response();
        Self {
            kind: error.kind(),
            message: error.to_string(),
            field: error.invalid_field().map(str::to_owned),
            value: error.actual_value().map(str::to_owned),
            expected: error.expected_value().map(str::to_owned),
            run: answer.execution,
            retryable: answer.is_retryable,
            hint: answer.hint,
            request: None,
            retry_after_ms: None,
        }
    }

    /// Names the request.
    #[must_use]
    pub fn request(mut self, id: request::Id) -> Self {
        self.request = Some(id.to_string());
        self
    }

    /// Says when to retry, in milliseconds.
    #[must_use]
    pub const fn retry_after_ms(mut self, millis: Option<u64>) -> Self {
        self.retry_after_ms = millis;
        self
    }

    /// Writes the refusal into `response`.
    pub fn write(self, response: &mut Response) {
        let status = StatusCode::from_u16(self.kind.response().status)
            .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        if self.retryable {
            // The header counts whole seconds; zero would invite an immediate repeat.
            let seconds = self.retry_after_ms.unwrap_or(1_000).div_ceil(1_000).max(1);
            let value = HeaderValue::from(seconds);
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
        response.status_code(status);
        response.render(Json(self));
    }
}
