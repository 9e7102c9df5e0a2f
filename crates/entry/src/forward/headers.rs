//! Header fields of client requests and responses.

use salvo::http::HeaderMap;
use toucanquay_wire::headers;

/// Header with the time left until the deadline of a request, in milliseconds.
pub const DEADLINE_HEADER: &str = "toucanquay-deadline-ms";

/// Header with the request id, which also appears in the logs.
pub const REQUEST_HEADER: &str = "toucanquay-request";

/// Header with the idempotency key of a request.
pub const KEY_HEADER: &str = "idempotency-key";

/// Returns the header fields of a client's request to forward, in order.
pub fn forwarded(headers: &HeaderMap) -> Vec<(String, Vec<u8>)> {
    let mut fields = headers::from_http(headers);
    fields.retain(|(name, _)| name != DEADLINE_HEADER);
    fields
}
