//! One stream of an entry.

use std::{sync::Arc, time::Duration};

use slog::{debug, info};
use tokio::time::{Instant, timeout_at};
use toucanquay_control::ledger::{Outcome, Request, Response};
use toucanquay_model::{Error, ErrorKind, error::Execution};
use toucanquay_wire::{Frame, Receiver, Sender, Stream, request::Head};

use super::{
    intake::Intake,
    outlet::Outlet,
    relay::{Relayed, relay, replay},
};
use crate::{
    Context,
    admission::{Entered, Permit},
    configuration,
};

/// Longest time for a body's beginning to arrive behind its head. Entries send both at once.
const INTAKE_TIMEOUT: Duration = Duration::from_secs(10);

/// Serves one stream.
pub async fn serve(context: Arc<Context>, stream: Stream) {
    let (mut sender, mut receiver) = stream.split();
    let first = match receiver.recv().await {
        Ok(Some(frame)) => frame,
        Ok(None) | Err(_) => return,
    };
    let reply = match first {
        Frame::Request(head) => return forward(&context, head, sender, receiver).await,
        Frame::Tombstone(tombstone) => {
            let verdict = context
                .admission
                .tombstone(tombstone.id, tombstone.incarnation);
            info!(context.log, "tombstoned";
                "request" => %tombstone.id, "verdict" => ?verdict);
            Frame::Verdict(verdict)
        }
        Frame::SectionQuery(query) => Frame::SectionReply(configuration::reply(&context, query)),
        _ => Frame::Refused(Error::new(ErrorKind::Protocol).context("not a frame for companions")),
    };
    if sender.send(&reply).await.is_ok() {
        // The peer reports a broken stream itself.
        let _ = sender.finish();
    }
}

/// Runs one request and logs how it ended.
async fn forward(context: &Context, head: Head, sender: Sender, receiver: Receiver) {
    let id = head.id;
    let begun = Instant::now();
    let deadline = deadline(&head, begun);
    let is_safe = matches!(head.method.as_str(), "GET" | "HEAD" | "OPTIONS");
    let mut outlet = Outlet::new(id, sender, deadline, is_safe, context.cut.clone());
    match run(context, &head, receiver, deadline, &mut outlet).await {
        Ok(Ended::Served(relayed)) => {
            outlet.end(relayed.length).await;
            debug!(context.log, "request_served";
                "request" => %id, "status" => relayed.status, "bytes" => relayed.length,
                "micros" => elapsed_micros(begun));
        }
        Ok(Ended::Known(response)) => {
            info!(context.log, "request_replayed"; "request" => %id);
            replay(id, &response, outlet).await;
        }
        Err(error) => {
            if error.kind().response().execution == Execution::NotRun {
                context.meters.refused();
            }
            info!(context.log, "request_failed";
                "request" => %id, "error" => %error, "micros" => elapsed_micros(begun));
            outlet.fail(error).await;
        }
    }
}

/// How a request ended well.
#[derive(Debug)]
enum Ended {
    /// The upstream's response was passed on, except for its end.
    Served(Relayed),
    /// It has run before, with this response.
    Known(Arc<Response>),
}

async fn run(
    context: &Context,
    head: &Head,
    receiver: Receiver,
    deadline: Instant,
    outlet: &mut Outlet,
) -> Result<Ended, Error> {
    if head.service != context.settings.service {
        return Err(Error::new(ErrorKind::UnknownService).value(&head.service));
    }
    let intake = take_in(head, receiver, deadline).await?;
    if Instant::now() >= deadline {
        return Err(Error::new(ErrorKind::DeadlineBeforeSend));
    }
    let request = Request {
        id: head.id,
        incarnation: head.incarnation,
        is_keyed: head.is_keyed,
    };
    let is_watch = head.remaining_micros.is_none();
    match context.admission.enter(request, is_watch) {
        Entered::Run(permit) => run_upstream(context, head, intake, permit, outlet)
            .await
            .map(Ended::Served),
        Entered::Replay(response) => Ok(Ended::Known(response)),
        Entered::Refused(error) => Err(error),
    }
}

async fn take_in(head: &Head, receiver: Receiver, deadline: Instant) -> Result<Intake, Error> {
    let deadline = deadline.min(Instant::now() + INTAKE_TIMEOUT);
    timeout_at(deadline, Intake::read(head.id, receiver))
        .await
        .unwrap_or_else(|_elapsed| {
            Err(Error::new(ErrorKind::DeadlineBeforeSend).context("the body did not arrive"))
        })
}

async fn run_upstream(
    context: &Context,
    head: &Head,
    intake: Intake,
    permit: Permit,
    outlet: &mut Outlet,
) -> Result<Relayed, Error> {
    let (body, _upload) = intake.into_body();
    let request = match context.upstream.request(head, body) {
        Ok(request) => request,
        Err(error) => {
            permit.finish(Outcome::NotRun);
            return Err(error);
        }
    };
    // From here on, dropping the permit records that the outcome is unknown.
    let sent = outlet.wait(context.upstream.send(permit.slot(), request));
    let response = match sent.await? {
        Ok(response) => response,
        Err(error) => {
            if error.kind().response().execution == Execution::NotRun {
                permit.finish(Outcome::NotRun);
            }
            return Err(error);
        }
    };
    let mut relayed = relay(head.id, head.is_keyed, response, outlet).await?;
    // The slot is free before the entry sees the end and may use it again.
    permit.finish(Outcome::Complete(relayed.copy.take()));
    Ok(relayed)
}

/// Returns when the entry stops waiting. A watch has no deadline; it is then a year ahead.
fn deadline(head: &Head, arrival: Instant) -> Instant {
    const YEAR: Duration = Duration::from_secs(365 * 24 * 3_600);
    let remaining = head.remaining_micros.map(Duration::from_micros);
    arrival + remaining.map_or(YEAR, |remaining| remaining.min(YEAR))
}

fn elapsed_micros(begun: Instant) -> u64 {
    u64::try_from(begun.elapsed().as_micros()).unwrap_or(u64::MAX)
}
