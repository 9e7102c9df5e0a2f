//! HTTP client of the upstream.

use std::{error::Error as _, time::Duration};

use reqwest::{Body, Client, Method, Request, Response, Url, redirect::Policy};
use toucanquay_model::{Error, ErrorKind, upstream::watch_slots};
use toucanquay_wire::{headers, request::Head};

use crate::Settings;

/// Connect timeout. The upstream is on the same host, so a longer wait means that it does not
/// accept connections.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after which an idle connection is closed. Servers commonly close idle connections after
/// 5 s, and the outcome of a request sent at that moment would be unknown.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// HTTP client of the upstream on the same host.
///
/// Each slot has its own connection. A slot may open a second one while the previous one is not
/// idle yet, so connections are kept alive only for as many slots as the connection limit allows.
#[derive(Debug)]
pub struct Upstream {
    base: Url,
    clients: Vec<Client>,
}

impl Upstream {
    /// Creates the client for the upstream in `settings`, without connecting.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::InvalidSetting`] when the upstream setting is not a valid URL.
    pub fn new(settings: &Settings) -> Result<Self, Error> {
        let invalid_setting = |cause: String| {
            Error::new(ErrorKind::InvalidSetting)
                .field("--upstream")
                .value(&settings.upstream)
                .expected("an address such as http://127.0.0.1:9000")
                .context(cause)
        };
        let base =
            Url::parse(&settings.upstream).map_err(|cause| invalid_setting(cause.to_string()))?;
        // One connection is reserved for health checks.
        let kept_connections = settings
            .connections
            .saturating_sub(settings.slots)
            .saturating_sub(1);
        // The connection of a watch is closed at its end and never kept.
        let watch_count = watch_slots(settings.slots, settings.connections);
        let idle_limits = (0..settings.slots).map(|slot| usize::from(slot < kept_connections));
        let clients: Result<Vec<Client>, reqwest::Error> = idle_limits
            .chain((0..watch_count).map(|_watch| 0))
            .map(build_client)
            .collect();
        let clients = clients.map_err(|cause| invalid_setting(cause.to_string()))?;
        Ok(Self { base, clients })
    }

    /// Returns the HTTP request for `head`.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::InvalidField`] when the method, the target or a header is not valid in HTTP.
    pub fn request(&self, head: &Head, body: Option<Body>) -> Result<Request, Error> {
        let invalid = |field: &str, value: &str| {
            Error::new(ErrorKind::InvalidField)
                .field(field)
                .value(value)
                .expected("a valid HTTP request")
        };
        let method = Method::from_bytes(head.method.as_bytes())
            .map_err(|_cause| invalid("method", &head.method))?;
        let url = self
            .url(&head.target)
            .ok_or_else(|| invalid("target", &head.target))?;
        let mut request = Request::new(method, url);
        *request.headers_mut() =
            headers::to_http(&head.headers).ok_or_else(|| invalid("headers", ""))?;
        *request.body_mut() = body;
        Ok(request)
    }

    /// Sends a request over the connection of `slot` and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::PeerUnavailable`] when no connection could be opened, so that nothing was sent;
    /// [`ErrorKind::OutcomeUnknown`] when the request failed after that.
    pub async fn send(&self, slot: usize, request: Request) -> Result<Response, Error> {
        self.clients[slot].execute(request).await.map_err(|cause| {
            let kind = if cause.is_connect() {
                ErrorKind::PeerUnavailable
            } else {
                ErrorKind::OutcomeUnknown
            };
            Error::new(kind).context(error_chain(&cause))
        })
    }

    /// Returns the URL of `target`, or `None` if it does not start with a slash or is invalid.
    fn url(&self, target: &str) -> Option<Url> {
        let base = self.base.as_str().trim_end_matches('/');
        if !target.starts_with('/') {
            return None;
        }
        Url::parse(&format!("{base}{target}")).ok()
    }
}

/// Returns an error and its chain of sources as one line.
#[must_use]
pub fn error_chain(error: &reqwest::Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(inner) = cause {
        text.push_str(": ");
        text.push_str(&inner.to_string());
        cause = inner.source();
    }
    text
}

fn build_client(idle_max: usize) -> Result<Client, reqwest::Error> {
    Client::builder()
        .redirect(Policy::none())
        // An automatic retry could send a request twice.
        .retry(reqwest::retry::never())
        .no_proxy()
        .http1_only()
        .tcp_nodelay(true)
        .connect_timeout(CONNECT_TIMEOUT)
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_max_idle_per_host(idle_max)
        .build()
}
