//! Forwarding of requests without an idempotency key.

use std::sync::Arc;

use slog::{info, warn};
use toucanquay_model::{
    Error, ErrorKind,
    request::{self, Verdict},
};
use toucanquay_policy::route::{self, Request};

use super::{ClientRequest, Outcome, UpstreamResponse, attempt, tombstone};
use crate::{
    Context,
    balancer::{AdmissionKind, Permit, Rejection},
    invariant,
};

/// Maximum attempts at one request. The retry budget limits the retries of all requests together.
const ATTEMPTS_MAX: u32 = 4;

/// Forwards a request, in several attempts if needed.
#[derive(Debug)]
pub struct Forwarder<'a> {
    context: &'a Arc<Context>,
    client_request: &'a ClientRequest,
    /// Id of the next attempt. A companion runs each id at most once, so a retry after an attempt
    /// that may have run needs a new id.
    attempt_id: request::Id,
    route_request: Request,
    admission: AdmissionKind,
    /// Whether an earlier attempt may have run; reporting "not run" would then be false.
    may_have_run: bool,
}

impl<'a> Forwarder<'a> {
    /// Returns a forwarder of `client_request`.
    #[must_use]
    pub fn new(context: &'a Arc<Context>, client_request: &'a ClientRequest) -> Self {
        Self {
            context,
            client_request,
            attempt_id: client_request.id,
            route_request: Request::new(client_request.deadline),
            admission: AdmissionKind::First,
            may_have_run: false,
        }
    }

    /// Sends the request, with retries, until the head of a response arrives.
    ///
    /// # Errors
    ///
    /// The error of the last attempt. Its kind tells whether the request ran.
    pub async fn run(mut self) -> Result<(Box<UpstreamResponse>, Permit), Rejection> {
        let mut last_error = Rejection::from(Error::new(ErrorKind::NoUpstream));
        for _ in 0..ATTEMPTS_MAX {
            let permit = match self.acquire().await {
                Ok(permit) => permit,
                Err(rejection) => return Err(self.correct_outcome(rejection)),
            };
            match self.attempt_once(permit).await {
                Ok(response) => return Ok(response),
                Err((rejection, may_retry)) if may_retry => last_error = rejection,
                Err((rejection, _)) => return Err(self.correct_outcome(rejection)),
            }
        }
        Err(self.correct_outcome(last_error))
    }

    async fn acquire(&self) -> Result<Permit, Rejection> {
        let balancer = self
            .context
            .balancer(&self.client_request.service, self.client_request.traffic())
            .ok_or_else(|| Error::new(ErrorKind::NoUpstream))?;
        balancer.acquire(&self.route_request, self.admission).await
    }

    /// Makes one attempt. An error tells whether another attempt may follow.
    async fn attempt_once(
        &mut self,
        permit: Permit,
    ) -> Result<(Box<UpstreamResponse>, Permit), (Rejection, bool)> {
        let target = permit.target().clone();
        let Context { pool, clock, .. } = &**self.context;
        let outcome = attempt(pool, *clock, &target, self.client_request, self.attempt_id).await;
        self.route_request.excluded.push(permit.key());
        match outcome {
            Outcome::Responded(response) => Ok((response, permit)),
            Outcome::NotRun(error) => Err(self.handle_not_run(error, permit)),
            Outcome::Unknown(error) => {
                report_protocol_violation(&self.context.log, &error);
                warn!(self.context.log, "attempt_failed"; "request" => %self.client_request.id,
                    "worker" => %target.worker, "cause" => %error);
                let is_past_deadline = error.kind() == ErrorKind::DeadlineWhileRunning;
                permit.complete(if is_past_deadline {
                    route::Outcome::Failed
                } else {
                    route::Outcome::Unreachable
                });
                if self.client_request.is_safe() {
                    self.may_have_run = true;
                    self.admission = AdmissionKind::Retry;
                    self.attempt_id = self.context.next_request_id();
                    info!(self.context.log, "request_retried";
                        "request" => %self.client_request.id, "as" => %self.attempt_id);
                    return Err((error.into(), !is_past_deadline));
                }
                let verdict = tombstone(pool, &target, self.attempt_id, target.incarnation).await;
                info!(self.context.log, "tombstone_verdict"; "request" => %self.client_request.id,
                    "worker" => %target.worker, "verdict" => ?verdict);
                if verdict == Verdict::NotRun {
                    self.admission = AdmissionKind::Retry;
                    let kind = ErrorKind::DeadlineBeforeSend;
                    let error = if is_past_deadline {
                        Error::new(kind)
                    } else {
                        peer_unavailable(&error)
                    };
                    return Err((error.into(), !is_past_deadline));
                }
                self.may_have_run = true;
                Err((error.into(), false))
            }
        }
    }

    fn handle_not_run(&mut self, error: Error, permit: Permit) -> (Rejection, bool) {
        let (outcome, next_admission) = classify_refusal(error.kind());
        permit.complete(outcome);
        if let Some(admission) = next_admission {
            self.admission = admission;
        }
        (error.into(), next_admission.is_some())
    }

    /// Replaces a "not run" error with "outcome unknown" if an earlier attempt may have run.
    fn correct_outcome(&self, rejection: Rejection) -> Rejection {
        let says_not_run = rejection.error.kind().response().execution
            == toucanquay_model::error::Execution::NotRun;
        if says_not_run && self.may_have_run {
            return Error::new(ErrorKind::OutcomeUnknown)
                .context(rejection.error)
                .into();
        }
        rejection
    }
}

fn peer_unavailable(cause: &Error) -> Error {
    Error::new(ErrorKind::PeerUnavailable).context(cause)
}

/// Returns the outcome to record for an upstream that refused a request without running it, and the
/// kind of the next attempt, if there may be one.
#[must_use]
pub const fn classify_refusal(kind: ErrorKind) -> (route::Outcome, Option<AdmissionKind>) {
    match kind {
        ErrorKind::Overloaded => (route::Outcome::Refused, Some(AdmissionKind::Readmit)),
        ErrorKind::Leaving | ErrorKind::ShuttingDown => {
            (route::Outcome::Draining, Some(AdmissionKind::Readmit))
        }
        ErrorKind::NoUpstream => (route::Outcome::Failed, Some(AdmissionKind::Retry)),
        ErrorKind::PeerUnavailable => (route::Outcome::Unreachable, Some(AdmissionKind::Retry)),
        _ => (route::Outcome::Cancelled, None),
    }
}

/// Reports a response that does not belong to its request. The caller rejects it.
pub fn report_protocol_violation(log: &slog::Logger, error: &Error) {
    if error.kind() == ErrorKind::Protocol {
        invariant::report_violation(log, 4, &error.to_string());
    }
}
