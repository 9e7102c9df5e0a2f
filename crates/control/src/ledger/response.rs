//! A response kept for replay.

/// The whole response of a request with an idempotency key.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Response {
    /// HTTP status code.
    pub status: u16,
    /// Header fields, in order.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Response {
    /// Returns the bytes of headers and body.
    #[must_use]
    pub fn size_bytes(&self) -> usize {
        let headers = self
            .headers
            .iter()
            .map(|(name, value)| name.len() + value.len());
        headers.sum::<usize>() + self.body.len()
    }
}
