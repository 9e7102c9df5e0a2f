//! The copy of a response that is kept for replay.

use toucanquay_control::ledger::{RESPONSE_BYTES_MAX, Response};
use toucanquay_wire::response::Head;

/// The copy of a response that is kept for replay, as long as it is small enough.
#[derive(Debug, Default)]
pub struct ResponseRecorder {
    response: Option<Response>,
}

impl ResponseRecorder {
    /// Begins the copy of the response with `head`.
    #[must_use]
    pub fn start(head: &Head) -> Self {
        let response = Response {
            status: head.status,
            headers: head.headers.clone(),
            body: Vec::new(),
        };
        Self {
            response: Some(response),
        }
    }

    /// Adds a part of the body, or drops the copy when it becomes too large.
    pub fn push(&mut self, chunk: &[u8]) {
        let Some(response) = &mut self.response else {
            return;
        };
        if response.size_bytes() + chunk.len() > RESPONSE_BYTES_MAX {
            self.response = None;
        } else {
            response.body.extend_from_slice(chunk);
        }
    }

    /// Returns the copy, if there is one.
    #[must_use]
    pub fn finish(self) -> Option<Response> {
        self.response
    }
}
