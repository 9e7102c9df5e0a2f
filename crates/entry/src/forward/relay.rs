//! A request through all its attempts.

use std::sync::Arc;

use slog::{info, warn};
use toucanquay_model::{
    Error, ErrorKind,
    request::{self, Verdict},
};
use toucanquay_policy::route::{self, Request};

use super::{Answer, Call, Outcome, attempt, tombstone};
use crate::{
    Context, invariant,
    lane::{Permit, Refused, Turn},
};

/// Attempts at one request at the most. The retry budget bounds their sum over all requests.
const ATTEMPTS_MAX: u32 = 4;

/// A request through all its attempts.
#[derive(Debug)]
pub struct Relay<'a> {
    context: &'a Arc<Context>,
    call: &'a Call,
    /// Id of the next attempt. A companion runs an id at most once, so a request that is sent again
    /// after it may have run needs another one.
    id: request::Id,
    request: Request,
    turn: Turn,
    /// Whether an earlier attempt may have run, so that "not run" would be false.
    may_have_run: bool,
}

impl<'a> Relay<'a> {
    /// Returns a request that was not sent yet.
    #[must_use]
    pub fn new(context: &'a Arc<Context>, call: &'a Call) -> Self {
        Self {
            context,
            call,
            id: call.id,
            request: Request::new(call.deadline),
            turn: Turn::First,
            may_have_run: false,
        }
    }

    /// Sends the request until its answer begins.
    ///
    /// # Errors
    ///
    /// The last attempt's error. Its kind says truthfully whether the request ran.
    pub async fn run(mut self) -> Result<(Box<Answer>, Permit), Refused> {
        let mut last = Refused::from(Error::new(ErrorKind::NoUpstream));
        for _ in 0..ATTEMPTS_MAX {
            let permit = match self.acquire().await {
                Ok(permit) => permit,
                Err(refused) => return Err(self.truthful(refused)),
            };
            match self.attempt(permit).await {
                Ok(answered) => return Ok(answered),
                Err((refused, may_go_on)) if may_go_on => last = refused,
                Err((refused, _)) => return Err(self.truthful(refused)),
            }
        }
        Err(self.truthful(last))
    }

    async fn acquire(&self) -> Result<Permit, Refused> {
        let lane = self
            .context
            .lane(&self.call.service, self.call.traffic())
            .ok_or_else(|| Error::new(ErrorKind::NoUpstream))?;
        lane.acquire(&self.request, self.turn).await
    }

    /// Makes one attempt; an error tells whether another attempt may follow.
    async fn attempt(&mut self, permit: Permit) -> Result<(Box<Answer>, Permit), (Refused, bool)> {
        let target = permit.target().clone();
        let Context { pool, clock, .. } = &**self.context;
        let outcome = attempt(pool, *clock, &target, self.call, self.id).await;
        self.request.excluded.push(permit.key());
        match outcome {
            Outcome::Answered(answer) => Ok((answer, permit)),
            Outcome::NotRun(error) => Err(self.not_run(error, permit)),
            Outcome::Unknown(error) => {
                check_protocol(&self.context.log, &error);
                warn!(self.context.log, "attempt_broken"; "request" => %self.call.id,
                    "worker" => %target.worker, "cause" => %error);
                let is_late = error.kind() == ErrorKind::DeadlineWhileRunning;
                permit.end(if is_late {
                    route::Outcome::Failed
                } else {
                    route::Outcome::Unreachable
                });
                if self.call.is_safe() {
                    self.may_have_run = true;
                    self.turn = Turn::Retry;
                    self.id = self.context.next_request();
                    info!(self.context.log, "request_sent_again"; "request" => %self.call.id,
                        "as" => %self.id);
                    return Err((error.into(), !is_late));
                }
                let verdict = tombstone(pool, &target, self.id, target.incarnation).await;
                info!(self.context.log, "tombstone_verdict"; "request" => %self.call.id,
                    "worker" => %target.worker, "verdict" => ?verdict);
                if verdict == Verdict::NotRun {
                    self.turn = Turn::Retry;
                    let kind = ErrorKind::DeadlineBeforeSend;
                    let error = if is_late {
                        Error::new(kind)
                    } else {
                        not_run(&error)
                    };
                    return Err((error.into(), !is_late));
                }
                self.may_have_run = true;
                Err((error.into(), false))
            }
        }
    }

    fn not_run(&mut self, error: Error, permit: Permit) -> (Refused, bool) {
        let (outcome, next) = after_refusal(error.kind());
        permit.end(outcome);
        if let Some(turn) = next {
            self.turn = turn;
        }
        (error.into(), next.is_some())
    }

    /// Replaces a "not run" that an earlier attempt makes false.
    fn truthful(&self, refused: Refused) -> Refused {
        let says_not_run =
            refused.error.kind().response().execution == toucanquay_model::error::Execution::NotRun;
        if says_not_run && self.may_have_run {
            return Error::new(ErrorKind::OutcomeUnknown)
                .context(refused.error)
                .into();
        }
        refused
    }
}

fn not_run(cause: &Error) -> Error {
    Error::new(ErrorKind::PeerUnavailable).context(cause)
}

/// Says what a refusal as not run means for the upstream, and whether the request may be sent
/// again.
#[must_use]
pub const fn after_refusal(kind: ErrorKind) -> (route::Outcome, Option<Turn>) {
    match kind {
        ErrorKind::Overloaded => (route::Outcome::Refused, Some(Turn::Again)),
        ErrorKind::Leaving | ErrorKind::ShuttingDown => {
            (route::Outcome::Draining, Some(Turn::Again))
        }
        ErrorKind::NoUpstream => (route::Outcome::Failed, Some(Turn::Retry)),
        ErrorKind::PeerUnavailable => (route::Outcome::Unreachable, Some(Turn::Retry)),
        _ => (route::Outcome::Cancelled, None),
    }
}

/// Counts an answer that does not belong to its request, which the caller refuses.
pub fn check_protocol(log: &slog::Logger, error: &Error) {
    if error.kind() == ErrorKind::Protocol {
        invariant::violated(log, 4, &error.to_string());
    }
}
