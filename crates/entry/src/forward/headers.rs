//! Header fields that stay on one connection.

use salvo::http::{HeaderMap, header};

/// Header that names the time a client still waits, in milliseconds.
pub const DEADLINE_HEADER: &str = "toucanquay-deadline-ms";

/// Header that names a request in answers and logs.
pub const REQUEST_HEADER: &str = "toucanquay-request";

/// Header that makes a repeated request harmless.
pub const KEY_HEADER: &str = "idempotency-key";

/// Fields that a proxy must not pass on (RFC 9110, section 7.6.1), and those that it sets itself.
const NOT_FORWARDED: [&str; 11] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "host",
    DEADLINE_HEADER,
];

/// Returns the fields of `headers` that are passed on, in order.
pub fn forwarded(headers: &HeaderMap) -> Vec<(String, Vec<u8>)> {
    let named: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    headers
        .iter()
        .filter(|(name, _)| !NOT_FORWARDED.contains(&name.as_str()))
        .filter(|(name, _)| !named.iter().any(|other| other == name.as_str()))
        .map(|(name, value)| (name.as_str().to_owned(), value.as_bytes().to_vec()))
        .collect()
}
