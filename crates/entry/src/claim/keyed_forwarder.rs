//! Forwarding of requests with an idempotency key.

use std::sync::Arc;

use slog::{info, warn};
use toucanquay_model::{Error, ErrorKind, Revision, request::Verdict};
use toucanquay_policy::route::{self, Request};
use toucanquay_store::{Expected, Item, PutOutcome};

use super::ClaimRecord;
use crate::{
    Context,
    balancer::{AdmissionKind, Permit, Rejection},
    forward::{
        ClientRequest, Outcome, UpstreamResponse, attempt, classify_refusal,
        report_protocol_violation, tombstone,
    },
};

/// Maximum attempts at one request by this entry.
const ATTEMPTS_MAX: u32 = 4;

/// The response to a client. It has a permit if this request was sent, and none if the response is
/// the stored one of an earlier request.
type ForwardedResponse = (Box<UpstreamResponse>, Option<Permit>);

/// Forwards a request with an idempotency key: claims the key, then makes the attempts.
#[derive(Debug)]
pub struct KeyedForwarder<'a> {
    context: &'a Arc<Context>,
    client_request: &'a ClientRequest,
    key: String,
    route_request: Request,
}

/// State of the claim in the store.
enum ClaimState {
    /// This request has the claim, at this revision.
    Held(Revision),
    /// This request has the claim, which may name another target.
    Outdated(Revision),
    /// Another request has the claim, with this record and revision.
    OtherRequest(ClaimRecord, Revision),
}

impl<'a> KeyedForwarder<'a> {
    /// Returns a forwarder of `client_request`, which has an idempotency key.
    #[must_use]
    pub fn new(context: &'a Arc<Context>, client_request: &'a ClientRequest) -> Self {
        let name = client_request.key.as_deref().unwrap_or_default();
        Self {
            context,
            client_request,
            key: format!("claim/{}/{name}", client_request.service),
            route_request: Request::new(client_request.deadline),
        }
    }

    /// Claims the key and sends the request, or returns the outcome of the first request with the
    /// key.
    ///
    /// # Errors
    ///
    /// The kind of the error tells whether the request ran.
    pub async fn run(mut self) -> Result<ForwardedResponse, Rejection> {
        let mut expected = Expected::Absent;
        let mut admission = AdmissionKind::First;
        let mut last_error = Rejection::from(Error::new(ErrorKind::NoUpstream));
        for _ in 0..ATTEMPTS_MAX {
            let permit = match self.acquire(admission).await {
                Ok(permit) => permit,
                Err(rejection) => return self.verify_not_run(rejection).await,
            };
            match self.write_claim(&permit, expected).await? {
                ClaimState::Held(revision) => {
                    expected = Expected::Revision(revision);
                    match self.send_attempt(permit).await {
                        Ok(response) => return Ok(response),
                        Err((rejection, Some(next))) => (last_error, admission) = (rejection, next),
                        Err((rejection, None)) => return Err(rejection),
                    }
                }
                ClaimState::Outdated(revision) => {
                    expected = Expected::Revision(revision);
                    admission = AdmissionKind::Readmit;
                }
                ClaimState::OtherRequest(record, revision) => {
                    drop(permit);
                    if let Some(response) = self.resolve_other(&record).await? {
                        return Ok((response, None));
                    }
                    expected = Expected::Revision(revision);
                    admission = AdmissionKind::Readmit;
                }
            }
        }
        Err(last_error)
    }

    async fn acquire(&self, admission: AdmissionKind) -> Result<Permit, Rejection> {
        let balancer = self
            .context
            .balancer(&self.client_request.service, self.client_request.traffic())
            .ok_or_else(|| Error::new(ErrorKind::NoUpstream))?;
        balancer.acquire(&self.route_request, admission).await
    }

    /// Returns a "not run" rejection only if no earlier request with the key can have run.
    async fn verify_not_run(&self, rejection: Rejection) -> Result<ForwardedResponse, Rejection> {
        let item = self
            .context
            .store
            .get(&self.key)
            .await
            .map_err(key_unverified)?;
        let Some(item) = item else {
            return Err(rejection);
        };
        let ClaimState::OtherRequest(record, _) = self.classify(&item)? else {
            return Err(rejection);
        };
        match self.resolve_other(&record).await? {
            Some(response) => Ok((response, None)),
            None => Err(rejection),
        }
    }

    /// Writes the claim, or returns the state of the existing one.
    async fn write_claim(&self, permit: &Permit, expected: Expected) -> Result<ClaimState, Error> {
        let record = ClaimRecord::new(self.client_request, permit.target().clone());
        let value = serde_json::to_string(&record).expect("serialization of plain data can't fail");
        let store = &self.context.store;
        let lease = self.context.claim_lease.current(store).await;
        let lease = lease.map_err(key_unverified)?;
        let put = store.put(&self.key, &value, expected, Some(lease)).await;
        match put.map_err(key_unverified)? {
            PutOutcome::Stored(revision) => Ok(ClaimState::Held(revision)),
            PutOutcome::Conflict(Some(item)) => self.classify(&item),
            PutOutcome::Conflict(None) => Err(key_unverified("the claim expired during the write")),
            PutOutcome::LeaseEnded => {
                self.context.claim_lease.discard().await;
                Err(key_unverified("the lease of the claim expired"))
            }
        }
    }

    fn classify(&self, item: &Item) -> Result<ClaimState, Error> {
        let record: ClaimRecord = serde_json::from_str(&item.value).map_err(|cause| {
            Error::new(ErrorKind::Protocol)
                .field(&item.key)
                .context(cause)
        })?;
        if !record.is_for(self.client_request) {
            return Err(Error::new(ErrorKind::KeyConflict)
                .field("idempotency-key")
                .value(self.client_request.key.as_deref().unwrap_or_default())
                .expected("a key that was not used with another request"));
        }
        if record.request == self.client_request.id.to_string() {
            return Ok(ClaimState::Outdated(item.revision));
        }
        Ok(ClaimState::OtherRequest(record, item.revision))
    }

    /// Sends the request. An error has the kind of the next attempt, if there may be one.
    async fn send_attempt(
        &mut self,
        permit: Permit,
    ) -> Result<ForwardedResponse, (Rejection, Option<AdmissionKind>)> {
        let context = self.context;
        let target = permit.target().clone();
        self.route_request.excluded.push(permit.key());
        let client_request = self.client_request;
        let outcome = attempt(
            &context.pool,
            context.clock,
            &target,
            client_request,
            client_request.id,
        )
        .await;
        let error = match outcome {
            Outcome::Responded(response) => return Ok((response, Some(permit))),
            Outcome::NotRun(error) => {
                let (outcome, next) = classify_refusal(error.kind());
                permit.complete(outcome);
                return Err((error.into(), next));
            }
            Outcome::Unknown(error) => error,
        };
        report_protocol_violation(&context.log, &error);
        warn!(context.log, "attempt_failed"; "request" => %self.client_request.id,
            "worker" => %target.worker, "cause" => %error);
        permit.complete(route::Outcome::Unreachable);
        match tombstone(
            &context.pool,
            &target,
            self.client_request.id,
            target.incarnation,
        )
        .await
        {
            Verdict::NotRun if error.kind() == ErrorKind::DeadlineWhileRunning => {
                Err((Error::new(ErrorKind::DeadlineBeforeSend).into(), None))
            }
            Verdict::NotRun => {
                let error = Error::new(ErrorKind::PeerUnavailable).context(error);
                Err((error.into(), Some(AdmissionKind::Retry)))
            }
            Verdict::Running | Verdict::Finished | Verdict::Unknown => Err((error.into(), None)),
        }
    }

    /// Determines the outcome of the request that has the claim: its response, or `None` if it did
    /// not run and never will.
    async fn resolve_other(
        &self,
        record: &ClaimRecord,
    ) -> Result<Option<Box<UpstreamResponse>>, Error> {
        let context = self.context;
        let first_id = record.request.parse()?;
        let target = &record.target;
        let verdict = tombstone(&context.pool, target, first_id, target.incarnation).await;
        info!(context.log, "claim_found"; "request" => %self.client_request.id,
            "first" => %first_id, "worker" => %target.worker, "verdict" => ?verdict);
        match verdict {
            Verdict::NotRun => Ok(None),
            Verdict::Running => Err(Error::new(ErrorKind::KeyInUse)),
            Verdict::Unknown => Err(Error::new(ErrorKind::OutcomeUnknown)
                .context("the first request with this key may have run")),
            Verdict::Finished => self.fetch_stored_response(first_id, record).await.map(Some),
        }
    }

    /// Fetches the stored response from the companion. The request does not run again, since it is
    /// in the companion's ledger.
    async fn fetch_stored_response(
        &self,
        first_id: toucanquay_model::request::Id,
        record: &ClaimRecord,
    ) -> Result<Box<UpstreamResponse>, Error> {
        let Context { pool, clock, .. } = &**self.context;
        match attempt(pool, *clock, &record.target, self.client_request, first_id).await {
            Outcome::Responded(response) => Ok(response),
            Outcome::NotRun(error) | Outcome::Unknown(error) => {
                Err(Error::new(ErrorKind::OutcomeUnknown).context(error))
            }
        }
    }
}

/// Returns the error of a request whose claim could not be written or read. The request was not
/// sent, but an earlier one with the same key may have run.
fn key_unverified(cause: impl std::fmt::Display) -> Error {
    Error::new(ErrorKind::KeyUnverified).context(cause)
}
