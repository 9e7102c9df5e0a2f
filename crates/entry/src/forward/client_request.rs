//! Requests of clients.

use bytes::Bytes;
use salvo::http::{Method, Request, errors::ParseError};
use toucanquay_model::{Error, ErrorKind, Incarnation, Time, job, request, section};
use toucanquay_wire::{Clock, request::Head};

use super::headers::{self, DEADLINE_HEADER, KEY_HEADER};
use crate::balancer::TrafficClass;

/// Maximum deadline that a client may request, in milliseconds.
const DEADLINE_MS_MAX: u64 = 600_000;

/// A request of a client, with its complete body, so that it can be sent to another upstream.
#[derive(Debug, Clone)]
pub struct ClientRequest {
    /// Unique id of the request.
    pub id: request::Id,
    /// Name of the service.
    pub service: String,
    /// HTTP method.
    pub method: String,
    /// Path and query to request from the upstream.
    pub target: String,
    /// Header fields to forward.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Complete body.
    pub body: Bytes,
    /// Deadline of the request; [`Time::NEVER`] for a watch.
    pub deadline: Time,
    /// Idempotency key, if the client sent one.
    pub key: Option<String>,
}

impl ClientRequest {
    /// Reads a client's request to `service`.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::InvalidField`] for an invalid header, [`ErrorKind::BodyTooLarge`] or
    /// [`ErrorKind::MalformedBody`] for the body. Nothing has been sent to an upstream.
    pub async fn read(
        id: request::Id,
        service: &str,
        service_settings: &section::Service,
        clock: Clock,
        request: &mut Request,
    ) -> Result<Self, Error> {
        let key = parse_key(request)?;
        let headers = headers::forwarded(request.headers());
        let method = request.method().as_str().to_owned();
        let target = upstream_target(service, request);
        let deadline = parse_deadline(service_settings, clock, &target, request)?;
        let body = read_body(service_settings, request).await?;
        Ok(Self {
            id,
            service: service.to_owned(),
            method,
            target,
            headers,
            body,
            deadline,
            key,
        })
    }

    /// Returns whether the method is safe, so that the request may be sent again after it may have
    /// run.
    #[must_use]
    pub fn is_safe(&self) -> bool {
        matches!(self.method.as_str(), "GET" | "HEAD" | "OPTIONS")
    }

    /// Returns the traffic class of the request.
    #[must_use]
    pub fn traffic(&self) -> TrafficClass {
        if self.deadline == Time::NEVER {
            TrafficClass::Watch
        } else {
            TrafficClass::Request
        }
    }

    /// Returns the request head to send with `id` to the incarnation `incarnation` of a companion.
    #[must_use]
    pub fn head(&self, id: request::Id, incarnation: Incarnation, now: Time) -> Head {
        let has_deadline = self.deadline != Time::NEVER;
        Head {
            id,
            incarnation,
            service: self.service.clone(),
            method: self.method.clone(),
            target: self.target.clone(),
            headers: self.headers.clone(),
            remaining_micros: has_deadline.then(|| self.deadline.micros_since(now)),
            is_keyed: self.key.is_some(),
        }
    }
}

fn parse_deadline(
    service_settings: &section::Service,
    clock: Clock,
    target: &str,
    request: &Request,
) -> Result<Time, Error> {
    let Some(value) = request.headers().get(DEADLINE_HEADER) else {
        if service_settings.is_watch(target) {
            return Ok(Time::NEVER);
        }
        return Ok(clock.now().plus_millis(service_settings.deadline_ms));
    };
    let text = String::from_utf8_lossy(value.as_bytes());
    let millis: Option<u64> = text.trim().parse().ok();
    millis
        .filter(|millis| (1..=DEADLINE_MS_MAX).contains(millis))
        .map(|millis| clock.now().plus_millis(millis))
        .ok_or_else(|| {
            Error::new(ErrorKind::InvalidField)
                .field(DEADLINE_HEADER)
                .value(&text)
                .expected(format!("1 to {DEADLINE_MS_MAX} milliseconds"))
        })
}

fn parse_key(request: &Request) -> Result<Option<String>, Error> {
    let Some(value) = request.headers().get(KEY_HEADER) else {
        return Ok(None);
    };
    if matches!(
        *request.method(),
        Method::GET | Method::HEAD | Method::OPTIONS
    ) {
        return Ok(None);
    }
    let text = String::from_utf8_lossy(value.as_bytes()).into_owned();
    job::check_name(KEY_HEADER, &text)?;
    Ok(Some(text))
}

/// Returns the path after `/services/{service}` and the query, unchanged.
fn upstream_target(service: &str, request: &Request) -> String {
    let path = request.uri().path();
    let prefix_length = "/services/".len() + service.len();
    let rest = path.get(prefix_length..).unwrap_or("");
    let path = if rest.starts_with('/') { rest } else { "/" };
    match request.uri().query() {
        Some(query) => format!("{path}?{query}"),
        None => path.to_owned(),
    }
}

async fn read_body(
    service_settings: &section::Service,
    request: &mut Request,
) -> Result<Bytes, Error> {
    let body_limit = usize::try_from(service_settings.body_bytes_max).unwrap_or(usize::MAX);
    match request.payload_with_max_size(body_limit).await {
        Ok(bytes) => Ok(bytes.clone()),
        Err(ParseError::PayloadTooLarge) => Err(Error::new(ErrorKind::BodyTooLarge)
            .field("body")
            .expected(format!("at most {body_limit} bytes"))),
        Err(cause) => Err(Error::new(ErrorKind::MalformedBody)
            .field("body")
            .expected("a complete HTTP body")
            .context(cause)),
    }
}
