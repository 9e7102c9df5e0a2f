//! Records a response for replay.

use toucanquay_control::ledger::{RESPONSE_BYTES_MAX, Response};
use toucanquay_wire::response::Head;

/// Records a response for replay, unless it is larger than the ledger keeps.
#[derive(Debug, Default)]
pub struct ResponseRecorder {
    response: Option<Response>,
}

impl ResponseRecorder {
    /// Starts recording the response with this `head`.
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

    /// Appends a chunk of the body, or discards the recording if it becomes too large.
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

    /// Returns the recorded response, or `None` if nothing was recorded or it was too large.
    #[must_use]
    pub fn finish(self) -> Option<Response> {
        self.response
    }
}
