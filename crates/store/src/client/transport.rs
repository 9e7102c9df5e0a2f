//! Sends single attempts of calls over HTTP.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use metrics::counter;
use reqwest::{Client as Http, Method, RequestBuilder, StatusCode, Url, redirect::Policy};
use tokio::time::Instant;
use toucanquay_model::{Error, ErrorKind, Revision};

use super::{AttemptFailure, CallKind, Response, shared_throttle::SharedThrottle};
use crate::{Builder, circuit_breaker::Permit};

/// Header with the store-wide revision that a response reflects.
const REVISION_HEADER: &str = "store-revision";

/// Number of attempts that fit into the deadline of a call: a write, reading the key back and the
/// retry of the write.
const ATTEMPTS_PER_CALL: u32 = 3;

/// Minimum time before the deadline at which an attempt may begin. A later one would time out, and
/// the outcome of a write that certainly had no effect would become unknown.
pub(super) const ATTEMPT_TIME_MIN: Duration = Duration::from_millis(20);

/// The HTTP connections to the store, guarded by the budget and the circuit breaker.
#[derive(Debug)]
pub(crate) struct Transport {
    http: Http,
    base: Url,
    throttle: SharedThrottle,
    call_timeout: Duration,
    attempt_timeout: Duration,
    /// Highest store revision that was observed.
    highest_revision: AtomicU64,
}

impl Transport {
    pub(super) fn new(builder: Builder) -> Result<Self, Error> {
        let invalid = |cause: String| Error::new(ErrorKind::InvalidSetting).context(cause);
        let base = format!("http://{}/v1", builder.address);
        let http = Http::builder().no_proxy().redirect(Policy::none()).build();
        let attempt_timeout = builder.call_deadline / ATTEMPTS_PER_CALL;
        Ok(Self {
            http: http.map_err(|cause| invalid(cause.to_string()))?,
            base: Url::parse(&base).map_err(|cause| invalid(cause.to_string()))?,
            throttle: SharedThrottle::new(builder.calls_per_second, attempt_timeout, builder.log),
            call_timeout: builder.call_deadline,
            attempt_timeout,
            highest_revision: AtomicU64::new(0),
        })
    }

    pub(super) fn highest_revision(&self) -> Revision {
        self.highest_revision.load(Ordering::Acquire)
    }

    pub(super) fn is_available(&self) -> bool {
        self.throttle.is_available()
    }

    /// Returns whether the circuit breaker is closed, so that no outage is known.
    pub(crate) fn is_breaker_closed(&self) -> bool {
        self.throttle.is_breaker_closed()
    }

    /// Returns a request for a path, whose segments are percent-encoded.
    pub(super) fn request(
        &self,
        method: Method,
        path: &[&str],
        query: &[(&str, String)],
    ) -> RequestBuilder {
        let mut url = self.base.clone();
        if let Ok(mut segments) = url.path_segments_mut() {
            segments.extend(path);
        }
        if !query.is_empty() {
            url.query_pairs_mut().extend_pairs(query);
        }
        self.http.request(method, url)
    }

    /// Sends a request once the budget and the breaker admit it, and returns the response.
    ///
    /// An attempt may take a third of the call's deadline; the poll of a watch may take all of it,
    /// unless it is the breaker's probe.
    pub(crate) async fn send(
        &self,
        kind: CallKind,
        request: RequestBuilder,
        deadline: Instant,
    ) -> Result<Response, AttemptFailure> {
        // The deadline of a watch is long. It must not reserve times so far ahead that other calls
        // no longer get one before their deadline.
        let latest = (deadline - ATTEMPT_TIME_MIN).min(Instant::now() + self.call_timeout);
        let permit = self.throttle.acquire(kind, latest).await?;
        let revision_before = self.highest_revision();
        let sent_at = Instant::now();
        let attempt_deadline = match kind {
            _ if kind.is_long_poll() && !permit.is_probe => deadline,
            _ => deadline.min(sent_at + self.attempt_timeout),
        };
        let outcome = self.exchange(request, sent_at, attempt_deadline).await;
        self.record_outcome(kind, permit, outcome.as_ref().err());
        let (response, revision) = outcome?;
        self.check_freshness(kind, revision, revision_before)?;
        Ok(response)
    }

    /// Reports the outcome of an attempt to the breaker and the metrics.
    fn record_outcome(&self, kind: CallKind, permit: Permit, failure: Option<&AttemptFailure>) {
        let outcome = match failure {
            None => "answered",
            Some(_) => "failed",
        };
        counter!("store_calls_total", "call" => kind.name(), "outcome" => outcome).increment(1);
        match failure {
            None => self.throttle.record_success(permit),
            // A request that the store rejects as invalid still shows that the store responds. A
            // broken connection of a long poll says little about other calls, so it is not counted.
            Some(failure) if failure.is_permanent => self.throttle.record_success(permit),
            Some(failure) if kind.is_long_poll() && failure.may_have_effect && !permit.is_probe => {
            }
            Some(failure) => self.throttle.record_failure(permit, &failure.error),
        }
    }

    /// Raises the highest observed revision to `revision` if that is higher.
    pub(crate) fn observe_revision(&self, revision: Revision) {
        self.highest_revision.fetch_max(revision, Ordering::AcqRel);
    }

    /// Rejects a read older than the highest revision that was observed before it was sent.
    fn check_freshness(
        &self,
        kind: CallKind,
        revision: Option<u64>,
        revision_before: u64,
    ) -> Result<(), AttemptFailure> {
        let Some(revision) = revision else {
            return Ok(());
        };
        self.observe_revision(revision);
        if kind.requires_fresh_revision() && revision < revision_before {
            counter!("store_stale_reads_total").increment(1);
            let error = Error::new(ErrorKind::StoreUnavailable);
            let context = format!(
                "stale read at revision {revision}: {revision_before} was already observed"
            );
            return Err(AttemptFailure::no_effect(error.context(context)));
        }
        Ok(())
    }

    async fn exchange(
        &self,
        request: RequestBuilder,
        sent_at: Instant,
        attempt_deadline: Instant,
    ) -> Result<(Response, Option<u64>), AttemptFailure> {
        let exchange = async {
            let http_response = request.send().await?;
            let status = http_response.status();
            let header = http_response.headers().get(REVISION_HEADER);
            let revision = header.and_then(|text| text.to_str().ok()?.parse().ok());
            let body = http_response.bytes().await?.to_vec();
            let response = Response {
                status,
                body,
                sent_at,
            };
            Ok::<_, reqwest::Error>((response, revision))
        };
        match tokio::time::timeout_at(attempt_deadline, exchange).await {
            Ok(Ok((response, revision))) => Ok((classify_status(response)?, revision)),
            Ok(Err(cause)) if cause.is_connect() => {
                Err(AttemptFailure::no_effect(store_unavailable(&cause)))
            }
            Ok(Err(cause)) => Err(AttemptFailure::ambiguous(store_unavailable(&cause))),
            Err(_elapsed) => {
                let error = Error::new(ErrorKind::StoreUnavailable);
                Err(AttemptFailure::ambiguous(
                    error.context("no response before the deadline of the attempt"),
                ))
            }
        }
    }
}

/// Turns the statuses that signal a failure into errors, and returns any other response.
fn classify_status(response: Response) -> Result<Response, AttemptFailure> {
    let status = response.status;
    let error = Error::new(ErrorKind::StoreUnavailable).context(format_args!("status {status}"));
    match status {
        // By the protocol, a call that gets a 503 response had no effect.
        StatusCode::SERVICE_UNAVAILABLE => Err(AttemptFailure::no_effect(error)),
        _ if status.is_server_error() => Err(AttemptFailure::ambiguous(error)),
        StatusCode::BAD_REQUEST | StatusCode::METHOD_NOT_ALLOWED => {
            let error = Error::new(ErrorKind::Protocol).context(format_args!("status {status}"));
            Err(AttemptFailure::permanent(error))
        }
        StatusCode::PAYLOAD_TOO_LARGE => Err(AttemptFailure::permanent(Error::new(
            ErrorKind::BodyTooLarge,
        ))),
        _ => Ok(response),
    }
}

/// Returns the error for `cause`, with the messages of its whole source chain.
fn store_unavailable(cause: &reqwest::Error) -> Error {
    let mut text = cause.to_string();
    let mut source = std::error::Error::source(cause);
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    Error::new(ErrorKind::StoreUnavailable).context(text)
}
