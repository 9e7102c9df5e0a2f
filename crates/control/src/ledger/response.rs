//! Responses retained for replay.

/// The complete response to a request with an idempotency key.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Response {
    /// HTTP status code.
    pub status: u16,
    /// Header fields in their original order.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Body of the response.
    pub body: Vec<u8>,
}

impl Response {
    /// Returns the size of headers and body, in bytes.
    #[must_use]
    pub fn size_bytes(&self) -> usize {
        let headers = self
            .headers
            .iter()
            .map(|(name, value)| name.len() + value.len());
        headers.sum::<usize>() + self.body.len()
    }
}
