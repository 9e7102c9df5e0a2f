//! Sends one attempt of a call.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use metrics::counter;
use reqwest::{Client as Http, Method, RequestBuilder, StatusCode, Url, redirect::Policy};
use tokio::time::Instant;
use toucanquay_model::{Error, ErrorKind, Revision};

use super::{Answer, Call, Failure, gate::Gate};
use crate::{Builder, breaker::Permit};

/// Header with the store-wide revision that an answer reflects.
const REVISION_HEADER: &str = "store-revision";

/// Attempts that fit into the deadline of a call: a write, the reading back and its repetition.
const ATTEMPTS: u32 = 3;

/// Time before its deadline at which no attempt of a call is made any more. It would time out, and
/// make the outcome of a write unknown that could have been known to have had no effect.
pub(super) const ATTEMPT_LEAST: Duration = Duration::from_millis(20);

/// The connections to the store behind the budget and the breaker.
#[derive(Debug)]
pub(crate) struct Transport {
    http: Http,
    base: Url,
    gate: Gate,
    call_limit: Duration,
    attempt_limit: Duration,
    /// Highest revision of the store that was seen.
    seen: AtomicU64,
}

impl Transport {
    pub(super) fn new(builder: Builder) -> Result<Self, Error> {
        let invalid = |cause: String| Error::new(ErrorKind::InvalidSetting).context(cause);
        let base = format!("http://{}/v1", builder.address);
        let http = Http::builder().no_proxy().redirect(Policy::none()).build();
        let attempt_limit = builder.call_deadline / ATTEMPTS;
        Ok(Self {
            http: http.map_err(|cause| invalid(cause.to_string()))?,
            base: Url::parse(&base).map_err(|cause| invalid(cause.to_string()))?,
            gate: Gate::new(builder.calls_per_second, attempt_limit, builder.log),
            call_limit: builder.call_deadline,
            attempt_limit,
            seen: AtomicU64::new(0),
        })
    }

    pub(super) fn revision(&self) -> Revision {
        self.seen.load(Ordering::Acquire)
    }

    pub(super) fn is_available(&self) -> bool {
        self.gate.is_available()
    }

    /// Tells whether no outage is noticed at present.
    pub(crate) fn is_closed(&self) -> bool {
        self.gate.is_closed()
    }

    /// Returns a request for the path, whose segments are escaped.
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

    /// Sends a request when the budget and the breaker let it, and returns its answer.
    ///
    /// An attempt may take a part of the call's deadline; a watch may take all of it.
    pub(crate) async fn send(
        &self,
        call: Call,
        request: RequestBuilder,
        deadline: Instant,
    ) -> Result<Answer, Failure> {
        // A waiting watch must not reserve calls of the far future before others.
        let latest = (deadline - ATTEMPT_LEAST).min(Instant::now() + self.call_limit);
        let permit = self.gate.pass(call, latest).await?;
        let seen = self.revision();
        let sent_at = Instant::now();
        let limit = match call {
            _ if call.is_long() && !permit.is_probe => deadline,
            _ => deadline.min(sent_at + self.attempt_limit),
        };
        let outcome = self.exchange(request, sent_at, limit).await;
        self.report(call, permit, outcome.as_ref().err());
        let (answer, revision) = outcome?;
        self.check(call, revision, seen)?;
        Ok(answer)
    }

    /// Tells the breaker and the metrics how an attempt ended.
    fn report(&self, call: Call, permit: Permit, failure: Option<&Failure>) {
        let outcome = match failure {
            None => "answered",
            Some(_) => "failed",
        };
        counter!("store_calls_total", "call" => call.name(), "outcome" => outcome).increment(1);
        match failure {
            None => self.gate.succeed(permit),
            // The end of a connection on which a poll waited says little about other calls.
            // A request that the store rejects is an answer all the same.
            Some(failure) if failure.is_final => self.gate.succeed(permit),
            Some(failure) if call.is_long() && failure.may_have_run && !permit.is_probe => {}
            Some(failure) => self.gate.fail(permit, &failure.error),
        }
    }

    /// Raises the highest revision seen to `revision`.
    pub(crate) fn see(&self, revision: Revision) {
        self.seen.fetch_max(revision, Ordering::AcqRel);
    }

    /// Refuses a read that is older than what had been seen when it was sent.
    fn check(&self, call: Call, revision: Option<u64>, seen: u64) -> Result<(), Failure> {
        let Some(revision) = revision else {
            return Ok(());
        };
        self.see(revision);
        if call.is_read() && revision < seen {
            counter!("store_stale_reads_total").increment(1);
            let error = Error::new(ErrorKind::StoreUnavailable);
            let context = format!("read at revision {revision}, older than {seen} seen before");
            return Err(Failure::not_run(error.context(context)));
        }
        Ok(())
    }

    async fn exchange(
        &self,
        request: RequestBuilder,
        sent_at: Instant,
        limit: Instant,
    ) -> Result<(Answer, Option<u64>), Failure> {
        let exchange = async {
            let response = request.send().await?;
            let status = response.status();
            let header = response.headers().get(REVISION_HEADER);
            let revision = header.and_then(|text| text.to_str().ok()?.parse().ok());
            let body = response.bytes().await?.to_vec();
            let answer = Answer {
                status,
                body,
                sent_at,
            };
            Ok::<_, reqwest::Error>((answer, revision))
        };
        match tokio::time::timeout_at(limit, exchange).await {
            Ok(Ok((answer, revision))) => Ok((classify(answer)?, revision)),
            Ok(Err(cause)) if cause.is_connect() => Err(Failure::not_run(unavailable(&cause))),
            Ok(Err(cause)) => Err(Failure::unknown(unavailable(&cause))),
            Err(_elapsed) => {
                let error = Error::new(ErrorKind::StoreUnavailable);
                Err(Failure::unknown(error.context("no answer in time")))
            }
        }
    }
}

/// Lets the answers pass that the protocol gives a meaning to.
fn classify(answer: Answer) -> Result<Answer, Failure> {
    let status = answer.status;
    let error = Error::new(ErrorKind::StoreUnavailable).context(format_args!("status {status}"));
    match status {
        // The protocol says that a call answered by 503 had no effect.
        StatusCode::SERVICE_UNAVAILABLE => Err(Failure::not_run(error)),
        _ if status.is_server_error() => Err(Failure::unknown(error)),
        StatusCode::BAD_REQUEST | StatusCode::METHOD_NOT_ALLOWED => {
            let error = Error::new(ErrorKind::Protocol).context(format_args!("status {status}"));
            Err(Failure::refused(error))
        }
        StatusCode::PAYLOAD_TOO_LARGE => Err(Failure::refused(Error::new(ErrorKind::BodyTooLarge))),
        _ => Ok(answer),
    }
}

fn unavailable(cause: &reqwest::Error) -> Error {
    let mut text = cause.to_string();
    let mut source = std::error::Error::source(cause);
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    Error::new(ErrorKind::StoreUnavailable).context(text)
}
