//! Conversion of header fields between frames and HTTP.

use http::header::{CONNECTION, HeaderMap, HeaderName, HeaderValue};

/// Fields that a proxy must not forward (RFC 9110, section 7.6.1), and fields that concern the
/// framing of a single connection.
const NOT_FORWARDED: [&str; 11] = [
    "connection",
    "expect",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Converts the fields of a request to HTTP headers, without connection-specific ones, or returns
/// `None` if a field is invalid.
#[must_use]
pub fn to_http(fields: &[(String, Vec<u8>)]) -> Option<HeaderMap> {
    let mut headers = HeaderMap::with_capacity(fields.len());
    for (name, value) in fields {
        let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
        headers.append(name, HeaderValue::from_bytes(value).ok()?);
    }
    remove_connection_headers(&mut headers);
    Some(headers)
}

/// Converts the headers of a response to fields, without connection-specific ones.
#[must_use]
pub fn from_http(headers: &HeaderMap) -> Vec<(String, Vec<u8>)> {
    let mut headers = headers.clone();
    remove_connection_headers(&mut headers);
    headers
        .iter()
        .map(|(name, value)| (name.as_str().to_owned(), value.as_bytes().to_vec()))
        .collect()
}

fn remove_connection_headers(headers: &mut HeaderMap) {
    let connection_options: Vec<String> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let not_forwarded = NOT_FORWARDED.iter().copied();
    for name in connection_options
        .iter()
        .map(String::as_str)
        .chain(not_forwarded)
    {
        headers.remove(name);
    }
}
