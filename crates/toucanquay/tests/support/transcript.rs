//! Transcripts of requests and responses for golden files.

use std::fmt::Write;

use reqwest::{RequestBuilder, Response};
use serde_json::Value;

/// Response fields that differ between test runs.
const VOLATILE_FIELDS: [&str; 3] = ["request", "hint", "retry_after_ms"];

/// Titles and responses of a sequence of requests, without the volatile fields.
#[derive(Debug, Default)]
pub struct Transcript {
    text: String,
}

impl Transcript {
    /// Sends a request and records its response under `title`.
    pub async fn send(&mut self, title: &str, request: RequestBuilder) {
        let response = request.send().await.expect("the entry responds");
        self.record(title, response).await;
    }

    /// Records a response under `title`.
    pub async fn record(&mut self, title: &str, response: Response) {
        let status = response.status().as_u16();
        let body = response
            .text()
            .await
            .unwrap_or_else(|_| "<cut off>".to_owned());
        let body = match serde_json::from_str::<Value>(&body) {
            Ok(value) => without_volatile_fields(value).to_string(),
            Err(_) => body,
        };
        self.push_line(&format!("{title}\n  {status} {}", body.trim_end()));
    }

    /// Appends a line.
    pub fn push_line(&mut self, line: &str) {
        writeln!(self.text, "{line}").expect("writing to a string succeeds");
    }

    /// Returns the text of the transcript.
    pub fn text(&self) -> &str {
        &self.text
    }
}

fn without_volatile_fields(mut value: Value) -> Value {
    if let Some(object) = value.as_object_mut() {
        for name in VOLATILE_FIELDS {
            object.remove(name);
        }
    }
    value
}
