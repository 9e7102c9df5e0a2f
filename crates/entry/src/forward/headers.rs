//! Header fields of clients.

use salvo::http::HeaderMap;
use toucanquay_wire::headers;

/// Header that names the time a client still waits, in milliseconds.
pub const DEADLINE_HEADER: &str = "toucanquay-deadline-ms";

/// Header that names a request in answers and logs.
pub const REQUEST_HEADER: &str = "toucanquay-request";

/// Header that makes a repeated request harmless.
pub const KEY_HEADER: &str = "idempotency-key";

/// Returns the fields of a client's request that are passed on, in order.
pub fn forwarded(headers: &HeaderMap) -> Vec<(String, Vec<u8>)> {
    let mut fields = headers::from_http(headers);
    fields.retain(|(name, _)| name != DEADLINE_HEADER);
    fields
}
