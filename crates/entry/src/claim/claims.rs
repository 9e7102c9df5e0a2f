//! A request with an idempotency key.

use std::sync::Arc;

use slog::{info, warn};
use toucanquay_model::{Error, ErrorKind, Revision, request::Verdict};
use toucanquay_policy::route::{self, Request};
use toucanquay_store::{Expected, Item, PutOutcome};

use super::Record;
use crate::{
    Context,
    forward::{Answer, Call, Outcome, after_refusal, attempt, check_protocol, tombstone},
    lane::{Permit, Refused, Turn},
};

/// Attempts at one request at the most, by this entry.
const ATTEMPTS_MAX: u32 = 4;

/// What a client gets: an answer, with the permit where this request itself was sent.
type Answered = (Box<Answer>, Option<Permit>);

/// A request with an idempotency key, through its claim and its attempts.
#[derive(Debug)]
pub struct Claims<'a> {
    context: &'a Arc<Context>,
    call: &'a Call,
    key: String,
    request: Request,
}

/// What follows from the claim that is in the store.
enum Claim {
    /// The claim is this request's, at this revision.
    Held(Revision),
    /// The claim is this request's, but may name another target.
    Outdated(Revision),
    /// Another request has the claim; its record and revision.
    Foreign(Record, Revision),
}

impl<'a> Claims<'a> {
    /// Returns a request that was not sent yet. `call` has a key.
    #[must_use]
    pub fn new(context: &'a Arc<Context>, call: &'a Call) -> Self {
        let name = call.key.as_deref().unwrap_or_default();
        Self {
            context,
            call,
            key: format!("claim/{}/{name}", call.service),
            request: Request::new(call.deadline),
        }
    }

    /// Claims the key and sends the request, or answers with what became of the first one.
    ///
    /// # Errors
    ///
    /// An error whose kind says truthfully whether the request ran.
    pub async fn answer(mut self) -> Result<Answered, Refused> {
        let mut expected = Expected::Absent;
        let mut turn = Turn::First;
        let mut last = Refused::from(Error::new(ErrorKind::NoUpstream));
        for _ in 0..ATTEMPTS_MAX {
            let permit = match self.acquire(turn).await {
                Ok(permit) => permit,
                Err(refused) => return self.verify(refused).await,
            };
            match self.claim(&permit, expected).await? {
                Claim::Held(revision) => {
                    expected = Expected::Revision(revision);
                    match self.send(permit).await {
                        Ok(answered) => return Ok(answered),
                        Err((refused, Some(next))) => (last, turn) = (refused, next),
                        Err((refused, None)) => return Err(refused),
                    }
                }
                Claim::Outdated(revision) => {
                    expected = Expected::Revision(revision);
                    turn = Turn::Again;
                }
                Claim::Foreign(record, revision) => {
                    drop(permit);
                    if let Some(answer) = self.learn(&record).await? {
                        return Ok((answer, None));
                    }
                    expected = Expected::Revision(revision);
                    turn = Turn::Again;
                }
            }
        }
        Err(last)
    }

    async fn acquire(&self, turn: Turn) -> Result<Permit, Refused> {
        let lane = self
            .context
            .lane(&self.call.service, self.call.traffic())
            .ok_or_else(|| Error::new(ErrorKind::NoUpstream))?;
        lane.acquire(&self.request, turn).await
    }

    /// Passes on a refusal as not run only when no earlier request with the key can have run.
    async fn verify(&self, refused: Refused) -> Result<Answered, Refused> {
        let item = self
            .context
            .store
            .get(&self.key)
            .await
            .map_err(unverified)?;
        let Some(item) = item else {
            return Err(refused);
        };
        let Claim::Foreign(record, _) = self.foreign(&item)? else {
            return Err(refused);
        };
        match self.learn(&record).await? {
            Some(answer) => Ok((answer, None)),
            None => Err(refused),
        }
    }

    /// Writes the claim, or finds the one that is there.
    async fn claim(&self, permit: &Permit, expected: Expected) -> Result<Claim, Error> {
        let record = Record::new(self.call, permit.target().clone());
        let value = serde_json::to_string(&record).expect("a claim is plain data");
        let store = &self.context.store;
        let lease = self.context.claim_leases.current(store).await;
        let lease = lease.map_err(unverified)?;
        let put = store.put(&self.key, &value, expected, Some(lease)).await;
        match put.map_err(unverified)? {
            PutOutcome::Stored(revision) => Ok(Claim::Held(revision)),
            PutOutcome::Conflict(Some(item)) => self.foreign(&item),
            PutOutcome::Conflict(None) => Err(unverified("the claim ended meanwhile")),
            PutOutcome::LeaseEnded => {
                self.context.claim_leases.forget().await;
                Err(unverified("the lease of the claim ended"))
            }
        }
    }

    fn foreign(&self, item: &Item) -> Result<Claim, Error> {
        let record: Record = serde_json::from_str(&item.value).map_err(|cause| {
            Error::new(ErrorKind::Protocol)
                .field(&item.key)
                .context(cause)
        })?;
        if !record.is_for(self.call) {
            return Err(Error::new(ErrorKind::KeyConflict)
                .field("idempotency-key")
                .value(self.call.key.as_deref().unwrap_or_default())
                .expected("a key that was not used with another request"));
        }
        if record.request == self.call.id.to_string() {
            return Ok(Claim::Outdated(item.revision));
        }
        Ok(Claim::Foreign(record, item.revision))
    }

    /// Sends the request; an error tells whether and how it may be sent again.
    async fn send(&mut self, permit: Permit) -> Result<Answered, (Refused, Option<Turn>)> {
        let context = self.context;
        let target = permit.target().clone();
        self.request.excluded.push(permit.key());
        let call = self.call;
        let outcome = attempt(&context.pool, context.clock, &target, call, call.id).await;
        let error = match outcome {
            Outcome::Answered(answer) => return Ok((answer, Some(permit))),
            Outcome::NotRun(error) => {
                let (outcome, next) = after_refusal(error.kind());
                permit.end(outcome);
                return Err((error.into(), next));
            }
            Outcome::Unknown(error) => error,
        };
        check_protocol(&context.log, &error);
        warn!(context.log, "attempt_broken"; "request" => %self.call.id,
            "worker" => %target.worker, "cause" => %error);
        permit.end(route::Outcome::Unreachable);
        match tombstone(&context.pool, &target, self.call.id, target.incarnation).await {
            Verdict::NotRun if error.kind() == ErrorKind::DeadlineWhileRunning => {
                Err((Error::new(ErrorKind::DeadlineBeforeSend).into(), None))
            }
            Verdict::NotRun => {
                let error = Error::new(ErrorKind::PeerUnavailable).context(error);
                Err((error.into(), Some(Turn::Retry)))
            }
            Verdict::Running | Verdict::Finished | Verdict::Unknown => Err((error.into(), None)),
        }
    }

    /// Learns what became of the request that has the claim: its answer, or `None` when it did not
    /// run and never will.
    async fn learn(&self, record: &Record) -> Result<Option<Box<Answer>>, Error> {
        let context = self.context;
        let first = record.request.parse()?;
        let target = &record.target;
        let verdict = tombstone(&context.pool, target, first, target.incarnation).await;
        info!(context.log, "claim_found"; "request" => %self.call.id, "first" => %first,
            "worker" => %target.worker, "verdict" => ?verdict);
        match verdict {
            Verdict::NotRun => Ok(None),
            Verdict::Running => Err(Error::new(ErrorKind::KeyInUse)),
            Verdict::Unknown => Err(Error::new(ErrorKind::OutcomeUnknown)
                .context("the first request with this key may have run")),
            Verdict::Finished => self.replay(first, record).await.map(Some),
        }
    }

    /// Asks the companion for the kept answer. The companion's ledger has the request, so that it
    /// does not run again.
    async fn replay(
        &self,
        first: toucanquay_model::request::Id,
        record: &Record,
    ) -> Result<Box<Answer>, Error> {
        let Context { pool, clock, .. } = &**self.context;
        match attempt(pool, *clock, &record.target, self.call, first).await {
            Outcome::Answered(answer) => Ok(answer),
            Outcome::NotRun(error) | Outcome::Unknown(error) => {
                Err(Error::new(ErrorKind::OutcomeUnknown).context(error))
            }
        }
    }
}

/// Returns the error of a request whose claim could not be written or read. It was not sent, but an
/// earlier one with the same key may have run.
fn unverified(cause: impl std::fmt::Display) -> Error {
    Error::new(ErrorKind::KeyUnverified).context(cause)
}
